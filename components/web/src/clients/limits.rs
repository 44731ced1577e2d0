//! Bounds on the clients of a listener.

use std::time;

/// Bounds on the clients of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes that all connections may hold together, with their requests in progress and the answers not yet
    /// taken.
    pub memory: u64,
    /// Time in which a client that does not take its answers as fast as they come has to take
    /// [`Self::least`].
    pub period: time::Duration,
    /// Bytes that such a client has to take in each period.
    pub least: u64,
}

impl Limits {
    /// Bounds for clients that are trusted, such as the nodes of the same system.
    pub const NONE: Self = Self {
        memory: u64::MAX,
        period: time::Duration::MAX,
        least: 0,
    };
}

impl Default for Limits {
    fn default() -> Self {
        const MIB: u64 = 1024 * 1024;
        Self {
            memory: 16 * MIB,
            period: time::Duration::from_secs(10),
            least: 10 * 1024,
        }
    }
}
