//! Measures the number of requests in flight.

use std::time;

/// Mean number of requests in flight, by Little's law: the sum of the latencies of the requests that
/// end per second.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    window_start: Option<time::Instant>,
    latency: time::Duration,
    demand: Option<f64>,
}

impl Meter {
    /// Length of a measurement.
    const WINDOW: time::Duration = time::Duration::from_secs(2);
    /// Weight of the newest window in the moving average.
    const NEWEST_WEIGHT: f64 = 0.5;

    /// Adds the sum of the latencies of requests that have ended.
    pub fn update(&mut self, latency: time::Duration, now: time::Instant) {
        let window_start = *self.window_start.get_or_insert(now);
        self.latency += latency;
        let elapsed = now.saturating_duration_since(window_start);
        if elapsed < Self::WINDOW {
            return;
        }
        let measured = self.latency.as_secs_f64() / elapsed.as_secs_f64();
        let previous = self.demand.unwrap_or(measured);
        self.demand = Some(previous + (measured - previous) * Self::NEWEST_WEIGHT);
        self.window_start = Some(now);
        self.latency = time::Duration::ZERO;
    }

    /// Mean number of requests in flight; `None` before the end of the first window.
    #[must_use]
    pub fn demand(&self) -> Option<f64> {
        self.demand
    }
}
