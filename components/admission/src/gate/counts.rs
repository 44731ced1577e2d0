//! Counters of a gate.

use serde::Serialize;

/// Counters of a gate since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Admitted requests that had to run alone.
    pub admitted_alone: u64,
    /// Requests that had to wait.
    pub queued: u64,
    /// Requests refused because the queue was full.
    pub refused_full: u64,
    /// Queued requests that were over the share of their workspace.
    pub over_share: u64,
    /// Requests refused because the queue was full and their workspace over its share.
    pub refused_over_share: u64,
    /// Requests refused because they could not finish by their deadline.
    pub refused_late: u64,
    /// Requests refused because of the rate limit of the backend server.
    pub refused_limited: u64,
    /// Requests refused after the maximum wait.
    pub refused_waited: u64,
    /// Requests refused because of the phase of the backend server or the node.
    pub refused_phase: u64,
    /// Requests that ran concurrently with one that had to run alone, or above the slots; always zero.
    pub violations: u64,
}
