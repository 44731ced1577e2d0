//! Request for admission to the backend server.

use std::time;

use compact_str::CompactString;

use crate::Announced;

/// Properties of a request on which admission depends.
#[derive(Debug, Clone)]
pub struct Request {
    /// Caller; callers share the backend server evenly.
    pub caller: CompactString,
    /// Workspace that the request belongs to; empty without one.
    pub workspace: CompactString,
    /// Requested service.
    pub service: CompactString,
    /// Requested version.
    pub version: CompactString,
    /// Hash of the route's name.
    pub route: u64,
    /// Priority of the route; zero is the highest.
    pub priority: u32,
    /// Time by which an answer is useful.
    pub target: time::Instant,
    /// Time by which the request has to be finished.
    pub deadline: time::Instant,
    /// Whether the request has to run while no other request runs.
    pub alone: bool,
}

impl Request {
    pub(crate) fn matches(&self, announced: &Announced) -> bool {
        announced.backend.service == self.service && announced.backend.version == self.version
    }
}
