//! Circuit breaker.

use std::time;

use rand::Rng;

use crate::Backoff;

/// Refuses calls while the platform fails, and lets single ones through to test it.
#[derive(Debug)]
pub struct Breaker {
    /// Failures in a row that open it.
    threshold: u32,
    failures: u32,
    backoff: Backoff,
    /// While it is open: when the next call may test the platform.
    retry_at: Option<time::Instant>,
}

impl Breaker {
    /// Shortest time that it stays open.
    const LEAST: time::Duration = time::Duration::from_millis(50);
    /// Bound of the first time that it stays open.
    const BASE: time::Duration = time::Duration::from_millis(200);

    /// A closed breaker that opens after `threshold` failures in a row, for at most `most` at once.
    #[must_use]
    pub fn new(threshold: u32, most: time::Duration) -> Self {
        Self {
            threshold,
            failures: 0,
            backoff: Backoff::new(Self::BASE, most),
            retry_at: None,
        }
    }

    /// Whether a call may be sent; the call that tests an open breaker holds off the others.
    ///
    /// # Errors
    /// The wait until a call may test the platform again.
    pub fn admit(
        &mut self,
        now: time::Instant,
        limit: time::Duration,
    ) -> Result<(), time::Duration> {
        let Some(retry_at) = self.retry_at else {
            return Ok(());
        };
        if now < retry_at {
            return Err(retry_at - now);
        }
        // The test ends within `limit`, so that a test whose caller went away blocks no longer.
        self.retry_at = Some(now + limit);
        Ok(())
    }

    /// Records that the platform answered.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.retry_at = None;
        self.backoff.reset();
    }

    /// Records that the platform did not answer.
    pub fn fail(&mut self, now: time::Instant, draws: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.threshold {
            let wait = self.backoff.next_wait(draws).max(Self::LEAST);
            self.retry_at = Some(now + wait);
        }
    }

    /// Whether it refuses calls.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.retry_at.is_some()
    }
}
