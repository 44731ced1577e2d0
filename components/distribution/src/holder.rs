//! The snapshot that a node holds.

use std::cell;
use std::rc;

use config::Snapshot;

/// The snapshot that a node holds, swapped whole; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Holder {
    current: rc::Rc<cell::RefCell<rc::Rc<Snapshot>>>,
    violations: rc::Rc<cell::Cell<u64>>,
}

impl Holder {
    /// The snapshot in force.
    #[must_use]
    pub fn get(&self) -> rc::Rc<Snapshot> {
        self.current.borrow().clone()
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
