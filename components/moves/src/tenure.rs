//! Time for which a lease is held.

use std::cell;
use std::time;

/// Time for which a shard's lease is held by this node; the runners look at it before each write.
#[derive(Debug)]
pub(crate) struct Tenure {
    until: cell::Cell<Option<time::Instant>>,
}

impl Tenure {
    pub(crate) fn new(until: time::Instant) -> Self {
        Self {
            until: cell::Cell::new(Some(until)),
        }
    }

    /// Extends the time.
    pub(crate) fn extend(&self, until: time::Instant) {
        if self.until.get().is_some() {
            self.until.set(Some(until));
        }
    }

    /// Ends it for good.
    pub(crate) fn end(&self) {
        self.until.set(None);
    }

    /// Whether the lease is held.
    pub(crate) fn is_held(&self) -> bool {
        self.until
            .get()
            .is_some_and(|until| time::Instant::now() < until)
    }

    /// Whether it has ended for good.
    pub(crate) fn has_ended(&self) -> bool {
        self.until.get().is_none()
    }
}
