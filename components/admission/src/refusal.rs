//! Refusal of a request before it runs.

use std::time;

use crate::{Occupancy, Reason};

/// Refusal of a request of which no byte has reached the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; retry after {} ms", .retry_after.as_millis())]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time to wait before a retry.
    pub retry_after: time::Duration,
    /// Occupancy at the time of the refusal, if the request was refused for lack of capacity.
    pub occupancy: Option<Occupancy>,
}

impl Refusal {
    /// Creates a refusal without occupancy.
    #[must_use]
    pub const fn new(reason: Reason, retry_after: time::Duration) -> Self {
        Self {
            reason,
            retry_after,
            occupancy: None,
        }
    }

    /// Creates a refusal for lack of capacity.
    #[must_use]
    pub const fn with_occupancy(
        reason: Reason,
        retry_after: time::Duration,
        occupancy: Occupancy,
    ) -> Self {
        Self {
            reason,
            retry_after,
            occupancy: Some(occupancy),
        }
    }
}
