//! Repeat information of a request.

use crate::Ancestry;

/// Repeat information of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Repeat {
    /// Whether the request is a retry that a backend server may have received before.
    pub resent: bool,
    /// Retries among the runs that may have made this call, and among those above them.
    pub called_again: Ancestry,
}

impl Repeat {
    /// Returns the ancestry of the calls that the request makes.
    #[must_use]
    pub fn calls(&self) -> Ancestry {
        if self.resent {
            Ancestry::RETRIED
        } else {
            self.called_again.next()
        }
    }
}
