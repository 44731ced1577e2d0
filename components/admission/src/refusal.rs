//! A request that is refused before it runs.

use std::time;

use crate::{Crowd, Reason};

/// A request that is refused before any byte of it reached the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; come back in {} ms", .retry_after.as_millis())]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it is worth coming back.
    pub retry_after: time::Duration,
    /// What stood in its way, where it was refused for want of room.
    pub crowd: Option<Crowd>,
}

impl Refusal {
    /// A refusal for `reason`.
    #[must_use]
    pub const fn new(reason: Reason, retry_after: time::Duration) -> Self {
        Self {
            reason,
            retry_after,
            crowd: None,
        }
    }

    /// A refusal for want of room.
    #[must_use]
    pub const fn crowded(reason: Reason, retry_after: time::Duration, crowd: Crowd) -> Self {
        Self {
            reason,
            retry_after,
            crowd: Some(crowd),
        }
    }
}
