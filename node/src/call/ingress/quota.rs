//! Quotas of workspaces at the ingress.

use std::time;

use quota::{Refusal, Token};
use routing::Observer;

use super::{Arrival, Dialect, Ingress, Problem, Reason};

/// Part of the time to the target (1/n) for which a request waits for a token.
const PATIENCE_DIVISOR: u32 = 5;

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Takes a token of the quota of the request's workspace.
    ///
    /// # Errors
    /// [`Reason::QuotaExceeded`] or [`Reason::QuotaUnavailable`].
    pub(super) async fn take_token(&self, arrival: &Arrival) -> Result<Token, Problem> {
        let left = arrival
            .target
            .saturating_duration_since(time::Instant::now());
        let quota = &self.shared.context.quota;
        let taken = quota.take(&arrival.workspace, left / PATIENCE_DIVISOR);
        taken.await.map_err(|refusal| match refusal {
            Refusal::Exceeded(room) => Problem {
                retry_after: Some(room),
                ..Problem::retryable(Reason::QuotaExceeded)
            },
            Refusal::Unavailable => Problem::retryable(Reason::QuotaUnavailable),
        })
    }
}
