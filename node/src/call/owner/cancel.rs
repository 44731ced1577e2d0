//! Cancellation of requests.

use upstream::Payload;

use super::Owner;
use crate::call::Dialect;

/// Ends the body with an error when its request is cancelled, and counts the cancellation.
///
/// Without the error, the backend server could take a truncated body for a complete one.
pub(crate) struct CancelGuard<'o, L: peer::Link, D: Dialect> {
    owner: &'o Owner<L, D>,
    payload: Option<Payload>,
}

impl<'o, L: peer::Link, D: Dialect> CancelGuard<'o, L, D> {
    pub(crate) fn new(owner: &'o Owner<L, D>, payload: Payload) -> Self {
        let payload = Some(payload);
        Self { owner, payload }
    }

    pub(crate) fn disarm(mut self) {
        self.payload = None;
    }
}

impl<L: peer::Link, D: Dialect> Drop for CancelGuard<'_, L, D> {
    fn drop(&mut self) {
        if let Some(payload) = self.payload.take() {
            self.owner.count(|counts| counts.cancelled += 1);
            payload.abandon();
        }
    }
}
