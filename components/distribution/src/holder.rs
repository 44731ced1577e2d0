//! The snapshot that a node holds.

use std::cell;
use std::rc;

use config::Snapshot;
use platform::Nudge;

/// The snapshot that a node holds, swapped whole; clones share it.
#[derive(Clone, Default)]
pub struct Holder {
    current: rc::Rc<cell::RefCell<rc::Rc<Snapshot>>>,
    violations: rc::Rc<cell::Cell<u64>>,
    /// Whom to tell of newer versions elsewhere.
    nudge: rc::Rc<cell::RefCell<Option<Nudge>>>,
}

impl Holder {
    /// The snapshot in force.
    #[must_use]
    pub fn get(&self) -> rc::Rc<Snapshot> {
        self.current.borrow().clone()
    }

    /// Rings `nudge` when another node is heard to hold a newer version.
    pub(crate) fn on_newer(&self, nudge: Nudge) {
        self.nudge.replace(Some(nudge));
    }

    /// Another node holds `version`.
    pub fn hear(&self, version: units::Version) {
        if version <= self.current.borrow().version() {
            return;
        }
        if let Some(nudge) = &*self.nudge.borrow() {
            nudge.ring();
        }
    }

    /// Puts `snapshot` in force, unless its version is not higher than the one held.
    ///
    /// Returns whether it was put in force.
    pub fn advance(&self, snapshot: Snapshot) -> bool {
        let held = self.current.borrow().version();
        if snapshot.version() <= held {
            return false;
        }
        let dangling = snapshot
            .routes()
            .iter()
            .flat_map(config::Route::services)
            .any(|service| snapshot.service(service).is_none());
        if dangling {
            self.violations.set(self.violations.get() + 1);
            log::error!(version = snapshot.version().0; "invariant violated: dangling route");
            return false;
        }
        *self.current.borrow_mut() = rc::Rc::new(snapshot);
        true
    }

    /// Snapshots that were refused because they break an invariant.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.violations.get()
    }
}
