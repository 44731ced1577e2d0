//! Ends the body of a request that is given up.

use upstream::Payload;

use super::Owner;
use crate::call::Dialect;

/// Ends a payload with an error when its request is given up, and counts that.
///
/// Without it the backend server could take a cut body for a whole one.
pub(crate) struct Cancel<'o, L: peer::Link, D: Dialect> {
    owner: &'o Owner<L, D>,
    payload: Option<Payload>,
}

impl<'o, L: peer::Link, D: Dialect> Cancel<'o, L, D> {
    pub(crate) fn new(owner: &'o Owner<L, D>, payload: Payload) -> Self {
        let payload = Some(payload);
        Self { owner, payload }
    }

    pub(crate) fn disarm(mut self) {
        self.payload = None;
    }
}

impl<L: peer::Link, D: Dialect> Drop for Cancel<'_, L, D> {
    fn drop(&mut self) {
        if let Some(payload) = self.payload.take() {
            self.owner.count(|counts| counts.cancelled += 1);
            payload.abandon();
        }
    }
}
