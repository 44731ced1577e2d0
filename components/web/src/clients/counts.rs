//! Counts of what was done to clients.

use serde::Serialize;

/// Connections that were closed before their clients were done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Their clients took less than the least in a period.
    pub stuck: u64,
    /// Others needed the memory.
    pub for_memory: u64,
    /// Others needed the place.
    pub for_place: u64,
}

impl Counts {
    /// The sum.
    #[must_use]
    pub fn closed(&self) -> u64 {
        self.stuck + self.for_memory + self.for_place
    }
}
