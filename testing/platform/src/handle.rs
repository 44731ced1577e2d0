//! Access to the stand-in from within its process.

use crate::shared::Shared;
use crate::{Copy, Counts, Faults};

/// Switches faults and reads counts from within the process.
#[derive(Clone)]
pub struct Handle {
    shared: Shared,
}

impl Handle {
    pub(crate) fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.set(faults);
        self.shared.notify();
    }

    /// A copy of the objects as they are.
    #[must_use]
    pub fn copy(&self) -> Copy {
        self.shared.objects.borrow().copy()
    }

    /// Comes back from `copy` in a new era; later changes are lost.
    pub fn restore(&self, copy: Copy) {
        self.shared.objects.borrow_mut().restore(copy);
        self.shared.notify();
    }

    /// Calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts.get()
    }

    /// Number of objects.
    #[must_use]
    pub fn objects(&self) -> usize {
        self.shared.objects.borrow().len()
    }
}
