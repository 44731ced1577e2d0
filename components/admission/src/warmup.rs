//! Rate limit of a backend server that warms up.

use std::time;

use crate::{Advertised, RateLimiter};

/// Rate limit of a backend server while it warms up after a start.
///
/// Unknown counts as cold: after a possible restart, the limit applies until an announcement says how long
/// the backend server still warms up.
#[derive(Debug, Clone)]
pub struct Warmup {
    /// Requests per second of a cold backend server; zero if the service needs no warm-up.
    rate: units::Rate,
    /// Warm-up of a new start that does not say how long it takes.
    period: time::Duration,
    /// Start of the backend server that announced itself last.
    instance: Option<u64>,
    /// End of the warm-up, according to the last announcement.
    until: Option<time::Instant>,
    /// Time from which it is not known whether the backend server is cold, and the time from which an
    /// announcement tells.
    unknown: Option<Unknown>,
    /// Token bucket, in use while the backend server is cold.
    limiter: RateLimiter,
}

/// Time in which it is not known whether a backend server is cold.
#[derive(Debug, Clone, Copy)]
struct Unknown {
    /// Announcements that are received before may have been sent before the restart.
    told_from: time::Instant,
}

impl Warmup {
    /// Time after a possible restart in which an announcement may have been sent before the restart.
    pub const STALE_ANNOUNCEMENT_LIMIT: time::Duration = time::Duration::from_millis(300);
    /// Time added to the announced one, which may be rounded.
    const ROUNDING: time::Duration = time::Duration::from_millis(100);

    /// Creates the limit of a service without a warm-up.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            rate: units::Rate(0.0),
            period: time::Duration::ZERO,
            instance: None,
            until: None,
            unknown: None,
            limiter: RateLimiter::new(now),
        }
    }

    /// Sets the rate and the usual time of the warm-up, as the configuration gives them; returns whether
    /// the rate has changed.
    pub fn configure(
        &mut self,
        rate: units::Rate,
        period: time::Duration,
        now: time::Instant,
    ) -> bool {
        self.period = period;
        if self.rate == rate {
            return false;
        }
        self.rate = rate;
        self.limiter = RateLimiter::new(now);
        self.limit(now);
        true
    }

    /// Applies an announcement of the start `instance`, received at `now`, that says how long the warm-up
    /// still takes; `None` if it does not say.
    pub fn announce(&mut self, instance: u64, left: Option<time::Duration>, now: time::Instant) {
        let is_new = self.instance != Some(instance);
        self.instance = Some(instance);
        let is_stale = self
            .unknown
            .is_some_and(|unknown| now < unknown.told_from && !is_new);
        if is_stale {
            return;
        }
        let was_cold = self.is_cold(now);
        self.unknown = None;
        self.until = match left {
            Some(left) if left.is_zero() => None,
            Some(left) => Some(now + left + Self::ROUNDING),
            None if is_new => Some(now + self.period),
            None => self.until,
        };
        if !was_cold {
            self.limiter = RateLimiter::new(now);
        }
        self.limit(now);
    }

    /// Records that the backend server may have restarted.
    pub fn suspect_restart(&mut self, now: time::Instant) {
        self.forget(now, now + Self::STALE_ANNOUNCEMENT_LIMIT);
    }

    /// Records that the backend server may have become cold, and that its next announcement tells.
    pub fn await_announcement(&mut self, now: time::Instant) {
        self.forget(now, now);
    }

    /// Whether the service has a warm-up.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        self.rate.0 > 0.0
    }

    /// Whether the limit applies at `now`.
    #[must_use]
    pub fn is_cold(&self, now: time::Instant) -> bool {
        let is_warming = self.until.is_some_and(|until| now < until);
        self.is_configured() && (is_warming || self.unknown.is_some())
    }

    /// Time until a request with `ahead` others before it may be sent.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: time::Instant) -> time::Duration {
        if !self.is_cold(now) {
            return time::Duration::ZERO;
        }
        let wait = self.limiter.wait(ahead, now);
        match self.until.filter(|_| self.unknown.is_none()) {
            Some(until) => wait.min(until.saturating_duration_since(now)),
            None => wait,
        }
    }

    /// Consumes a token for a request that is sent to the backend server.
    pub fn consume(&mut self, now: time::Instant) {
        if self.is_cold(now) {
            self.limiter.consume(now);
        }
    }

    /// Promises a turn to a retry, behind `ahead` queued requests, and returns the time until then; `None` if
    /// the limit does not apply.
    pub fn reserve_turn(&mut self, ahead: usize, now: time::Instant) -> Option<time::Duration> {
        if !self.is_cold(now) {
            return None;
        }
        self.limiter.reserve_turn(ahead, now)
    }

    fn forget(&mut self, now: time::Instant, told_from: time::Instant) {
        if !self.is_cold(now) {
            self.limiter = RateLimiter::new(now);
        }
        self.unknown = Some(Unknown { told_from });
        self.limit(now);
    }

    /// Puts the rate into effect, if the limit applies.
    fn limit(&mut self, now: time::Instant) {
        if self.is_cold(now) && self.limiter.rate().is_none() {
            let _ = self.limiter.observe(Advertised::Rate(self.rate), now, now);
        }
    }
}
