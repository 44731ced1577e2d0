//! A request that asks to run.

use std::time;

use compact_str::CompactString;

use crate::Announced;

/// A request that asks to run.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Who sends it; callers share the backend server evenly.
    pub caller: CompactString,
    /// Service that it is meant for.
    pub service: CompactString,
    /// Version that it is meant for.
    pub version: CompactString,
    /// Hash of its route's name.
    pub route: u64,
    /// Rank of its route; zero goes first.
    pub priority: u32,
    /// When an answer is wanted.
    pub target: time::Instant,
    /// When it has to be finished.
    pub deadline: time::Instant,
    /// Whether nothing may run beside it.
    pub alone: bool,
}

impl Ask {
    pub(crate) fn is_for(&self, announced: &Announced) -> bool {
        announced.backend.service == self.service && announced.backend.version == self.version
    }
}
