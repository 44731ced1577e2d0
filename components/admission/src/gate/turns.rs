//! Turns of requests under the rate limits of a gate.

use std::time;

use super::state::{State, Waiter};
use crate::{RateLimiter, Reason, Refusal, Request, Urgency, Warmup};

impl State {
    /// Refuses a request that gets no turn in time at the rate that the backend server advertises.
    pub(super) fn check_turn(
        &mut self,
        request: &Request,
        max_wait: time::Duration,
        now: time::Instant,
    ) -> Result<(), Refusal> {
        if !self.is_limited(now) {
            return Ok(());
        }
        let urgency = self.urgency(request);
        let ahead = self.waiting.ahead(&urgency, now);
        let wait = self.turn_wait(ahead, now);
        if is_turn_in_time(&urgency, wait, max_wait, now) {
            return Ok(());
        }
        self.counts.refused_limited += 1;
        Err(self.refuse_limited(request.route, wait, now))
    }

    /// Removes the queued requests that get no turn in time.
    pub(super) fn shed_limited(
        &mut self,
        max_wait: time::Duration,
        now: time::Instant,
    ) -> Vec<(Waiter, Refusal)> {
        if !self.is_limited(now) {
            return Vec::new();
        }
        let (rate_limiter, warmup) = (&self.rate_limiter, &self.warmup);
        let fits = |urgency: &Urgency, ahead| {
            let wait = longest_wait(rate_limiter, warmup, ahead, now);
            is_turn_in_time(urgency, wait, max_wait, now)
        };
        let shed = self.waiting.shed_unless(now, fits);
        self.counts.refused_limited += shed.len() as u64;
        let wait = self.turn_wait(self.waiting.len(), now);
        let refusals = shed.into_iter();
        refusals
            .map(|waiter| {
                let refusal = self.refuse_limited(waiter.route, wait, now);
                (waiter, refusal)
            })
            .collect()
    }

    /// Refusal because of the rate limit, with the time until the turn promised to a retry.
    fn refuse_limited(&mut self, route: u64, wait: time::Duration, now: time::Instant) -> Refusal {
        let ahead = self.waiting.len();
        let turn = self.reserve_turn(ahead, now).unwrap_or(wait);
        Refusal::with_occupancy(Reason::Limited, turn, self.occupancy(route, wait))
    }

    /// Whether a rate limit applies.
    fn is_limited(&self, now: time::Instant) -> bool {
        self.rate_limiter.rate().is_some() || self.warmup.is_cold(now)
    }

    /// Time until a request with `ahead` others before it has a turn under all rate limits.
    pub(super) fn turn_wait(&self, ahead: usize, now: time::Instant) -> time::Duration {
        longest_wait(&self.rate_limiter, &self.warmup, ahead, now)
    }

    /// Promises a turn to a retry under all rate limits; `None` if none applies.
    pub(super) fn reserve_turn(
        &mut self,
        ahead: usize,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let advertised = self.rate_limiter.reserve_turn(ahead, now);
        advertised.max(self.warmup.reserve_turn(ahead, now))
    }
}

/// Time until a request with `ahead` others before it has a turn under both rate limits.
fn longest_wait(
    rate_limiter: &RateLimiter,
    warmup: &Warmup,
    ahead: usize,
    now: time::Instant,
) -> time::Duration {
    let wait = rate_limiter.wait(ahead, now);
    wait.max(warmup.wait(ahead, now))
}

/// Whether a request with this `wait` for its turn can still be answered by its target; otherwise the turn
/// is left to others, and the request may find capacity at another owner.
fn is_turn_in_time(
    urgency: &Urgency,
    wait: time::Duration,
    max_wait: time::Duration,
    now: time::Instant,
) -> bool {
    wait.is_zero() || (wait <= max_wait && now + wait + urgency.expected <= urgency.target)
}
