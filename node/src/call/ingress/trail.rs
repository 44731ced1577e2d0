//! Where a request has been sent so far.

use compact_str::CompactString;

use crate::call::{Problem, Reason};

/// Where a request has been sent so far.
#[derive(Default)]
pub(super) struct Trail {
    /// Nodes that had it.
    pub(super) tried: Vec<units::Node>,
    /// Attempts that reached a backend server.
    pub(super) reached: u32,
    /// How the last attempt ended, where that was without an answer.
    pub(super) last: Option<Problem>,
    /// It was on a backend server that crashed.
    pub(super) suspect: bool,
    /// A version whose owner has refused it as withheld.
    pub(super) closed: Option<CompactString>,
}

impl Trail {
    /// A trail of attempts that count as having reached a backend server.
    pub(super) fn reached(attempts: u32) -> Self {
        Self {
            reached: attempts,
            ..Self::default()
        }
    }

    /// Whether a node may get it once more when all have had it: an owner that is well and has
    /// refused it at once would refuse it again; one where it has waited may have room by now.
    pub(super) fn may_come_back(&self) -> bool {
        let waited = Reason::Refused(admission::Reason::Waited);
        self.last
            .is_none_or(|problem| !problem.reason.is_refusal() || problem.reason.is(waited))
    }

    /// Whether the last owner refused it for the rate that its backend server has named.
    pub(super) fn is_limited(&self) -> bool {
        let limited = Reason::Refused(admission::Reason::Limited);
        self.last.is_some_and(|problem| problem.reason.is(limited))
    }

    /// Attempts made so far.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }
}
