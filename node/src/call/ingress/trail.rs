//! Where a request has been sent so far.

use compact_str::CompactString;

/// Where a request has been sent so far.
#[derive(Default)]
pub(super) struct Trail {
    /// Nodes that had it.
    pub(super) tried: Vec<units::Node>,
    /// Attempts that reached a backend server.
    pub(super) reached: u32,
    /// It was on a backend server that crashed.
    pub(super) suspect: bool,
    /// A version whose owner has refused it as withheld.
    pub(super) closed: Option<CompactString>,
}

impl Trail {
    /// Attempts made so far.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }
}
