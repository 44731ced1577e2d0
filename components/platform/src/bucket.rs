//! Token bucket for our own calls.

use std::time;

/// Token bucket; it may also be closed until a time that the platform has named.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: time::Instant,
    closed_until: time::Instant,
}

impl Bucket {
    /// A full bucket that gains `rate` tokens a second up to `burst`.
    #[must_use]
    pub fn new(rate: units::Rate, burst: u32, now: time::Instant) -> Self {
        let burst = f64::from(burst);
        Self {
            rate: rate.0,
            burst,
            tokens: burst,
            filled: now,
            closed_until: now,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// The wait until there is one.
    pub fn take(&mut self, now: time::Instant) -> Result<(), time::Duration> {
        let elapsed = now.saturating_duration_since(self.filled);
        self.filled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        if now < self.closed_until {
            return Err(self.closed_until - now);
        }
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err(time::Duration::from_secs_f64(missing / self.rate))
    }

    /// Gives out no token for `wait`.
    pub fn close_for(&mut self, wait: time::Duration, now: time::Instant) {
        self.closed_until = self.closed_until.max(now + wait);
    }
}
