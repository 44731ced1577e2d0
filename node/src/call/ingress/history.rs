//! Attempt history of a request.

use compact_str::CompactString;

use crate::call::{Problem, Reason};

/// Attempt history of a request.
#[derive(Default)]
pub(super) struct History {
    /// Nodes that the request was sent to.
    pub(super) tried: Vec<units::Node>,
    /// Number of attempts that reached a backend server.
    pub(super) reached: u32,
    /// Problem that ended the last attempt without a response.
    pub(super) last: Option<Problem>,
    /// Whether the request was in flight at a backend server that crashed.
    pub(super) suspect: bool,
    /// Version whose owner refused the request as withheld.
    pub(super) withheld_version: Option<CompactString>,
}

impl History {
    /// Creates a history of attempts that count as having reached a backend server.
    pub(super) fn reached(attempts: u32) -> Self {
        Self {
            reached: attempts,
            ..Self::default()
        }
    }

    /// Returns whether a node may be tried again after all nodes have been tried. A healthy owner
    /// that refused the request immediately would refuse it again; an owner where the request
    /// waited may have room by now.
    pub(super) fn may_repeat_node(&self) -> bool {
        let waited = Reason::Refused(admission::Reason::Waited);
        self.last
            .is_none_or(|problem| !problem.reason.is_refusal() || problem.reason.is(waited))
    }

    /// Returns whether the last owner refused the request because of its backend server's rate
    /// limit.
    pub(super) fn is_limited(&self) -> bool {
        let limited = Reason::Refused(admission::Reason::Limited);
        self.last.is_some_and(|problem| problem.reason.is(limited))
    }

    /// Returns the number of attempts so far.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }
}
