//! Rate limiter for a backend server that advertises a rate.

use std::collections::VecDeque;
use std::time;

use crate::{Advertised, Change, Usage};

/// Rate limiter at the rate that a backend server advertises, with a count of recent arrivals.
///
/// Protects a backend server that can handle fewer requests per second than its slots would run. The
/// limiter is a token bucket (J. Turner, "New Directions in Communications", 1986) with a burst of half
/// a second and one request, so that any four seconds admit at most 4.5 times the rate plus one request.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate: Option<units::Rate>,
    /// Whether this node has received an answer, with or without a rate.
    answered: bool,
    /// Time at which the rate was last advertised.
    advertised_at: time::Instant,
    /// Tokens at the time `refilled_at`; each admits one request.
    tokens: f64,
    refilled_at: time::Instant,
    /// Last turn that was promised to a retry.
    last_turn: time::Instant,
    /// Arrivals in the window, the oldest first, while a rate is in effect.
    arrivals: VecDeque<time::Instant>,
}

impl RateLimiter {
    /// Window over which arrivals are counted.
    pub const WINDOW: time::Duration = time::Duration::from_secs(4);
    /// Time in seconds over which unused tokens accumulate.
    const BURST_SECS: f64 = 0.5;
    /// Lowest enforced rate in requests per second: with fewer requests, no answer would report in time that
    /// the limit has ended.
    const MIN_RATE: f64 = 0.2;
    /// Tokens when a rate is first set, whatever was sent before.
    const INITIAL_TOKENS: f64 = 1.0;
    /// Maximum wait for a promised turn; beyond it, the earlier turns are promised again.
    const MAX_TURN_WAIT: time::Duration = time::Duration::from_secs(10);
    /// Maximum number of arrivals that are remembered.
    const MAX_ARRIVALS: usize = 4_096;

    /// Creates a limiter without a rate.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            rate: None,
            answered: false,
            advertised_at: now,
            tokens: 0.0,
            refilled_at: now,
            last_turn: now,
            arrivals: VecDeque::new(),
        }
    }

    /// Rate in effect, if any.
    #[must_use]
    pub fn rate(&self) -> Option<units::Rate> {
        self.rate
    }

    /// Applies the rate in an answer received at `now` to a request sent at `sent`.
    ///
    /// An answer without a rate lifts the limit only if its request was sent after the rate was last
    /// advertised: the answer may have been produced before that and delayed.
    pub fn observe(
        &mut self,
        advertised: Advertised,
        sent: time::Instant,
        now: time::Instant,
    ) -> Change {
        self.answered = true;
        match (advertised, self.rate) {
            (Advertised::None, None) => Change::None,
            (Advertised::None, Some(_)) if sent <= self.advertised_at => Change::None,
            (Advertised::None, Some(before)) => {
                self.rate = None;
                self.arrivals = VecDeque::new();
                Change::Lifted { before }
            }
            (Advertised::Unreadable, kept) => Change::Unreadable { kept },
            (Advertised::Rate(rate), before) => {
                self.set_rate(rate, now);
                if before == Some(rate) {
                    Change::None
                } else {
                    Change::Set { rate, before }
                }
            }
        }
    }

    /// Applies a rate reported by another node, unless this node has received an answer; the lowest of
    /// several rates applies. Returns whether the rate has changed.
    pub fn adopt(&mut self, rate: units::Rate, now: time::Instant) -> bool {
        let changes = !self.answered && self.rate.is_none_or(|current| rate < current);
        if changes {
            self.set_rate(rate, now);
        }
        changes
    }

    fn set_rate(&mut self, rate: units::Rate, now: time::Instant) {
        self.refill(now);
        if self.rate.is_none() {
            self.tokens = Self::INITIAL_TOKENS;
            self.last_turn = now;
        }
        self.rate = Some(rate);
        self.advertised_at = now;
        self.tokens = self.tokens.min(burst(self.per_second()));
    }

    /// Consumes a token for a request that is sent to the backend server.
    pub fn consume(&mut self, now: time::Instant) {
        if self.rate.is_none() {
            return;
        }
        self.refill(now);
        self.tokens -= 1.0;
        self.expire_arrivals(now);
        if self.arrivals.len() < Self::MAX_ARRIVALS {
            self.arrivals.push_back(now);
        }
    }

    /// Whether a request may be sent at once.
    #[must_use]
    pub fn is_open(&self, now: time::Instant) -> bool {
        self.wait(0, now).is_zero()
    }

    /// Time until a request with `ahead` others before it may be sent.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: time::Instant) -> time::Duration {
        if self.rate.is_none() {
            return time::Duration::ZERO;
        }
        // Requests in a queue are few.
        #[allow(clippy::cast_precision_loss)]
        let missing = ahead as f64 + 1.0 - self.tokens_at(now);
        let wait = (missing / self.per_second()).max(0.0);
        time::Duration::try_from_secs_f64(wait).unwrap_or(time::Duration::MAX)
    }

    /// Promises a turn to a retry, behind `ahead` queued requests, and returns the time until then; `None`
    /// without a rate.
    ///
    /// Turns are spaced at the rate, so that retries sent at their turns find capacity and do not arrive
    /// together.
    pub fn reserve_turn(&mut self, ahead: usize, now: time::Instant) -> Option<time::Duration> {
        self.rate?;
        let first = now + self.wait(ahead, now);
        let step = time::Duration::from_secs_f64(1.0 / self.per_second());
        let next = self.last_turn + step;
        let turn = if next > now + Self::MAX_TURN_WAIT {
            first
        } else {
            first.max(next)
        };
        self.last_turn = turn;
        Some(turn.saturating_duration_since(now))
    }

    /// Arrivals under the rate in effect.
    pub fn usage(&mut self, now: time::Instant) -> Option<Usage> {
        let rate = self.rate?;
        self.expire_arrivals(now);
        Some(Usage {
            rate,
            arrived: self.arrivals.len(),
            age: now.saturating_duration_since(self.advertised_at),
        })
    }

    /// Enforced rate in requests per second.
    fn per_second(&self) -> f64 {
        self.rate.map_or(0.0, |rate| rate.0).max(Self::MIN_RATE)
    }

    fn tokens_at(&self, now: time::Instant) -> f64 {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let rate = self.per_second();
        (self.tokens + passed * rate).min(burst(rate))
    }

    fn refill(&mut self, now: time::Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn expire_arrivals(&mut self, now: time::Instant) {
        let is_expired = |at: &time::Instant| now.saturating_duration_since(*at) >= Self::WINDOW;
        while self.arrivals.front().is_some_and(is_expired) {
            self.arrivals.pop_front();
        }
    }
}

/// Capacity of the token bucket.
fn burst(per_second: f64) -> f64 {
    1.0 + per_second * RateLimiter::BURST_SECS
}
