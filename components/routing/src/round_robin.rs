//! Round robin, used as the baseline of experiments.

use std::cell;
use std::rc;

use crate::{Endpoint, Group};

/// Round robin over all backend servers announced as ready, regardless of their results.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: cell::Cell<usize>,
}

impl RoundRobin {
    /// Returns the next backend server of `group`.
    #[must_use]
    pub fn choose(&self, group: &Group) -> Option<rc::Rc<Endpoint>> {
        let total = group.local.len() + group.remote.len();
        if total == 0 {
            return None;
        }
        let index = self.next.get() % total;
        self.next.set(self.next.get().wrapping_add(1));
        group.all().nth(index).cloned()
    }
}
