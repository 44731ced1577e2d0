//! Tracks a response from its head to the end of its body.

use compact_str::CompactString;
use routing::Observer;
use upstream::Payload;

use super::Ingress;
use crate::call::owner::Execution;
use crate::call::{Attempt, BodyEnd, BodyObserver, Dialect};

/// Tracks a response to the end of its body.
pub struct Delivery<L, O: Observer, D: Dialect> {
    /// Ingress that the end is reported to.
    pub(super) ingress: Ingress<L, O, D>,
    pub(super) attempt: Attempt,
    /// Execution at the owner, if the owner is in this process.
    pub(super) owner: Option<Execution<L, D>>,
    /// Body of the request.
    pub(super) payload: Payload,
    /// Name of the route.
    pub(super) route: CompactString,
    pub(super) status: http::StatusCode,
    /// Place in the bulkhead, held until the body ends.
    pub(super) bulkhead_entry: Option<admission::Entry>,
}

impl<L: peer::Link, O: Observer, D: Dialect> BodyObserver for Delivery<L, O, D> {
    fn end(mut self, ended: BodyEnd) {
        match ended {
            BodyEnd::Complete => {
                let failed = self.status.is_server_error();
                self.ingress.observe(&self.attempt, &self.route, failed);
                self.ingress.count(|counts| counts.answered += 1);
            }
            BodyEnd::Truncated => {
                self.attempt.truncate();
                self.ingress.observe(&self.attempt, &self.route, true);
                self.ingress.count(|counts| counts.truncated += 1);
                self.payload.abandon();
            }
            BodyEnd::Dropped => {
                self.ingress.count(|counts| counts.cancelled += 1);
                self.payload.abandon();
            }
        }
        if let Some(owner) = self.owner.take() {
            owner.end(ended);
        }
    }
}
