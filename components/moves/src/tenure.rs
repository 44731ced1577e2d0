//! Validity of a held lease.

use std::cell;
use std::time;

/// Validity of this node's lease of a shard; runners check it before each write.
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

    /// Extends the validity, unless it has ended for good.
    pub(crate) fn extend(&self, until: time::Instant) {
        if self.until.get().is_some() {
            self.until.set(Some(until));
        }
    }

    /// Ends the validity for good.
    pub(crate) fn end(&self) {
        self.until.set(None);
    }

    /// Whether the lease is held now.
    pub(crate) fn is_held(&self) -> bool {
        self.until
            .get()
            .is_some_and(|until| time::Instant::now() < until)
    }

    /// Whether the validity has ended for good.
    pub(crate) fn has_ended(&self) -> bool {
        self.until.get().is_none()
    }
}
