//! A request that is refused before it runs.

use std::time;

use crate::Reason;

/// A request that is refused before any byte of it reached the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; come back in {} ms", .retry_after.as_millis())]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it is worth coming back.
    pub retry_after: time::Duration,
}

impl Refusal {
    /// A refusal for `reason`.
    #[must_use]
    pub const fn new(reason: Reason, retry_after: time::Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }
}
