//! Limit on the rate of calls.

use std::time;

/// Token bucket that holds one second's worth of calls.
#[derive(Debug)]
pub(crate) struct Limiter {
    rate: f64,
    tokens: f64,
    filled: time::Instant,
}

impl Limiter {
    pub(crate) fn new(rate: units::Rate, now: time::Instant) -> Self {
        Self {
            rate: rate.0,
            tokens: rate.0,
            filled: now,
        }
    }

    /// Admits one call, or says when the next one will be.
    pub(crate) fn admit(&mut self, now: time::Instant) -> Result<(), time::Duration> {
        let elapsed = now.saturating_duration_since(self.filled);
        self.filled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.rate);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err(time::Duration::from_secs_f64(missing / self.rate))
    }
}
