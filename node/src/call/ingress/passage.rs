//! Follows an answer from its head to its end.

use compact_str::CompactString;
use routing::Observer;
use upstream::Payload;

use super::Ingress;
use crate::call::owner::Serving;
use crate::call::{Attempt, Dialect, Ended, Watch};

/// Follows an answer to its end.
pub struct Passage<L, O: Observer, D: Dialect> {
    /// The ingress that observes the end.
    pub(super) ingress: Ingress<L, O, D>,
    /// The attempt that was answered.
    pub(super) attempt: Attempt,
    /// What follows the answer at the owner, where that is in this process.
    pub(super) owner: Option<Serving<L, D>>,
    /// Body of the request.
    pub(super) payload: Payload,
    /// Name of the route.
    pub(super) route: CompactString,
    /// Status of the answer.
    pub(super) status: http::StatusCode,
    /// Place in the quota, until the body has ended.
    pub(super) entry: Option<admission::Entry>,
}

impl<L: peer::Link, O: Observer, D: Dialect> Watch for Passage<L, O, D> {
    fn end(mut self, ended: Ended) {
        match ended {
            Ended::Whole => {
                let failed = self.status.is_server_error();
                self.ingress.observe(&self.attempt, &self.route, failed);
                self.ingress.count(|counts| counts.answered += 1);
            }
            Ended::Broken => {
                self.attempt.break_off();
                self.ingress.observe(&self.attempt, &self.route, true);
                self.ingress.count(|counts| counts.truncated += 1);
                self.payload.abandon();
            }
            Ended::Dropped => {
                self.ingress.count(|counts| counts.cancelled += 1);
                self.payload.abandon();
            }
        }
        if let Some(owner) = self.owner.take() {
            owner.end(ended);
        }
    }
}
