//! Growing waits between attempts.

use std::time;

use rand::Rng;

/// Exponential back-off with full jitter.
///
/// Each wait is drawn evenly from nothing to a bound that doubles, so that clients that failed
/// together do not return together (Brooker, "Exponential Backoff And Jitter", AWS, 2015).
#[derive(Debug, Clone)]
pub struct Backoff {
    base: time::Duration,
    most: time::Duration,
    attempts: u32,
}

impl Backoff {
    /// Waits that are drawn from up to `base` at first and from up to `most` in the end.
    #[must_use]
    pub fn new(base: time::Duration, most: time::Duration) -> Self {
        Self {
            base,
            most,
            attempts: 0,
        }
    }

    /// Upper bound of the next wait.
    #[must_use]
    pub fn bound(&self) -> time::Duration {
        let factor = 2_u32.saturating_pow(self.attempts);
        self.base.saturating_mul(factor).min(self.most)
    }

    /// Draws the next wait.
    pub fn next_wait(&mut self, draws: &mut impl Rng) -> time::Duration {
        let bound = self.bound();
        self.attempts = self.attempts.saturating_add(1);
        bound.mul_f64(draws.random())
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
