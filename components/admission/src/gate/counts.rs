//! Figures of a gate.

use serde::Serialize;

/// Figures of a gate since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that were let through.
    pub admitted: u64,
    /// Of these, such as had to run alone.
    pub admitted_alone: u64,
    /// Requests that had to wait.
    pub queued: u64,
    /// Refused because too many waited.
    pub refused_full: u64,
    /// Refused because they could not finish by their deadline.
    pub refused_late: u64,
    /// Refused because the backend server takes no more requests a second.
    pub refused_limited: u64,
    /// Refused after the longest wait.
    pub refused_waited: u64,
    /// Refused because of the phase of the backend server or the node.
    pub refused_phase: u64,
    /// Requests that ran beside one that had to run alone, or above the slots; always zero.
    pub violations: u64,
}
