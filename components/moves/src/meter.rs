//! How much of a service's slots its traffic fills.

use std::time;

/// Mean number of requests in flight, by Little's law: the latencies of what ended in a second.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    since: Option<time::Instant>,
    latency: time::Duration,
    demand: Option<f64>,
}

impl Meter {
    /// Time over which it is measured.
    const WINDOW: time::Duration = time::Duration::from_secs(2);
    /// Weight of the newest window.
    const NEWEST: f64 = 0.5;

    /// Takes the latencies of requests that ended.
    pub fn absorb(&mut self, latency: time::Duration, now: time::Instant) {
        let since = *self.since.get_or_insert(now);
        self.latency += latency;
        let elapsed = now.saturating_duration_since(since);
        if elapsed < Self::WINDOW {
            return;
        }
        let measured = self.latency.as_secs_f64() / elapsed.as_secs_f64();
        let held = self.demand.unwrap_or(measured);
        self.demand = Some(held + (measured - held) * Self::NEWEST);
        self.since = Some(now);
        self.latency = time::Duration::ZERO;
    }

    /// Requests in flight; `None` before the first window is over.
    #[must_use]
    pub fn demand(&self) -> Option<f64> {
        self.demand
    }
}
