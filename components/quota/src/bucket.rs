//! Token bucket of one workspace at the granter.

use units::Uptime;

use crate::Limit;

/// Token bucket whose capacity bounds its level and the tokens that are leased together.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    limit: Limit,
    level: f64,
    /// Tokens that are leased and may still be used.
    leased: u32,
    refilled: Uptime,
    /// Tokens that wallets wanted in their last reports and did not get.
    unmet: u64,
    /// Requests a second of all wallets, smoothed.
    demand: f64,
    demanded: Uptime,
}

impl Bucket {
    /// Part of the capacity that is kept for requests that wait.
    const RESERVE: f64 = 0.25;
    /// Tokens kept beside that part, up to half of the capacity: with a small capacity, single tokens at
    /// many nodes are most of it.
    const RESERVE_LEAST: f64 = 10.0;
    /// Seconds over which demand is smoothed.
    const SMOOTHING: f64 = 1.0;

    /// An empty bucket.
    #[must_use]
    pub fn empty(limit: Limit, now: Uptime) -> Self {
        Self {
            limit,
            level: 0.0,
            leased: 0,
            refilled: now,
            unmet: 0,
            demand: 0.0,
            demanded: now,
        }
    }

    /// A full bucket.
    #[must_use]
    pub fn full(limit: Limit, now: Uptime) -> Self {
        Self {
            level: limit.capacity,
            ..Self::empty(limit, now)
        }
    }

    /// The limit.
    #[must_use]
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Tokens in the bucket.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Tokens that are leased and may still be used.
    #[must_use]
    pub fn leased(&self) -> u32 {
        self.leased
    }

    /// Adds the tokens of the time since the last refill, as far as the capacity has room for them.
    pub fn refill(&mut self, now: Uptime) {
        let passed = now.saturating_since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.level += self.limit.rate * passed.as_secs_f64();
        self.cap();
    }

    /// Replaces the limit; a lower one takes effect on the level at once.
    pub fn change(&mut self, limit: Limit, now: Uptime) {
        self.refill(now);
        self.limit = limit;
        self.cap();
    }

    /// Records that `tokens` of those leased were used or can no longer be used.
    pub fn spend(&mut self, tokens: u32) {
        self.leased = self.leased.saturating_sub(tokens);
    }

    /// Takes `tokens` of those leased back.
    pub fn take_back(&mut self, tokens: u32) {
        self.leased = self.leased.saturating_sub(tokens);
        self.level += f64::from(tokens);
        self.cap();
    }

    /// Replaces the part `before` of one wallet in the unmet wants.
    pub fn replace_unmet(&mut self, before: u32, after: u32) {
        self.unmet = self.unmet.saturating_sub(u64::from(before)) + u64::from(after);
    }

    /// Leases tokens for `waiting` requests, and of `ahead` more the part that the unmet wants leave.
    pub fn lease(&mut self, waiting: u32, ahead: u32) -> u32 {
        let now = waiting.min(whole(self.level));
        self.level -= f64::from(now);
        let free = (self.level - self.reserve()).max(0.0);
        let wanted = self.unmet.max(u64::from(ahead)).max(1) as f64;
        let part = (f64::from(ahead) * (free / wanted).min(1.0)).ceil();
        let later = ahead.min(whole(part)).min(whole(free));
        self.level -= f64::from(later);
        self.leased += now + later;
        now + later
    }

    /// Counts requests that arrived at a wallet.
    pub fn demand(&mut self, requests: u32, now: Uptime) {
        let passed = now.saturating_since(self.demanded).as_secs_f64();
        self.demanded = self.demanded.max(now);
        self.demand *= (-passed / Self::SMOOTHING).exp();
        self.demand += f64::from(requests) / Self::SMOOTHING;
    }

    /// Whether more than the rate is asked for, beyond the usual deviation, so that waiting does not help.
    #[must_use]
    pub fn is_overdrawn(&self) -> bool {
        // Arrivals at random smoothed like this deviate by the root of half of the rate; this is twice it.
        let deviation = (2.0 * self.limit.rate / Self::SMOOTHING).sqrt();
        self.demand > self.limit.rate + deviation
    }

    /// Tokens kept for requests that wait.
    fn reserve(&self) -> f64 {
        let capacity = self.limit.capacity;
        (Self::RESERVE * capacity + Self::RESERVE_LEAST).min(capacity / 2.0)
    }

    fn cap(&mut self) {
        let room = self.limit.capacity - f64::from(self.leased);
        self.level = self.level.min(room.max(0.0));
    }
}

/// Whole tokens of a number that is not below zero.
fn whole(number: f64) -> u32 {
    // Bounded by the type; the cast saturates.
    number.max(0.0) as u32
}
