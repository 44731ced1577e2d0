//! Holder of the configuration snapshot in force.

use std::cell;
use std::rc;

use config::Snapshot;
use platform::Nudge;

/// Holds the snapshot in force, which is replaced as a whole; clones share it.
#[derive(Clone, Default)]
pub struct Holder {
    current: rc::Rc<cell::RefCell<rc::Rc<Snapshot>>>,
    violations: rc::Rc<cell::Cell<u64>>,
    /// Notified when another node holds a newer version.
    nudge: rc::Rc<cell::RefCell<Option<Nudge>>>,
}

impl Holder {
    /// Returns the snapshot in force.
    #[must_use]
    pub fn get(&self) -> rc::Rc<Snapshot> {
        self.current.borrow().clone()
    }

    /// Sets the `nudge` that is notified when another node reports a newer version.
    pub(crate) fn on_newer(&self, nudge: Nudge) {
        self.nudge.replace(Some(nudge));
    }

    /// Records that another node holds `version`, and triggers the nudge if the version is newer.
    pub fn hear(&self, version: units::Version) {
        if version <= self.current.borrow().version() {
            return;
        }
        if let Some(nudge) = &*self.nudge.borrow() {
            nudge.ring();
        }
    }

    /// Puts `snapshot` in force if its version is higher than the current one.
    ///
    /// Returns whether the snapshot was put in force.
    pub fn advance(&self, snapshot: Snapshot) -> bool {
        let held = self.current.borrow().version();
        if snapshot.version() <= held {
            return false;
        }
        let has_dangling = snapshot
            .routes()
            .iter()
            .flat_map(config::Route::services)
            .any(|service| snapshot.service(service).is_none());
        if has_dangling {
            self.violations.set(self.violations.get() + 1);
            log::error!(version = snapshot.version().0; "invariant violated: dangling route");
            return false;
        }
        *self.current.borrow_mut() = rc::Rc::new(snapshot);
        true
    }

    /// Returns the number of snapshots refused because they violate an invariant.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations.get()
    }
}
