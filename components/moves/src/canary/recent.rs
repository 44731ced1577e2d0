//! Requests to the other versions in the last seconds.

use super::Route;

/// Requests to the other versions in the last seconds; older ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Recent {
    requests: f64,
    failures: f64,
    slow: f64,
}

impl Recent {
    /// Part of the earlier requests that still counts after an update.
    const KEPT: f64 = 0.9;
    /// Requests below which a rate is not known, and taken as that of so many.
    const MIN_REQUESTS: f64 = 20.0;

    /// All requests to the other versions.
    // Counts stay far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn of(route: &Route) -> Self {
        Self {
            requests: route.base_requests as f64,
            failures: route.base_failures as f64,
            slow: route.base_slow as f64,
        }
    }

    pub(super) fn update(&mut self, before: &Route, now: &Route) {
        let (before, now) = (Self::of(before), Self::of(now));
        let next = |kept: f64, before: f64, now: f64| kept * Self::KEPT + (now - before).max(0.0);
        self.requests = next(self.requests, before.requests, now.requests);
        self.failures = next(self.failures, before.failures, now.failures);
        self.slow = next(self.slow, before.slow, now.slow);
    }

    pub(super) fn failure_rate(&self) -> f64 {
        self.failures / self.requests.max(Self::MIN_REQUESTS)
    }

    pub(super) fn poor_rate(&self) -> f64 {
        (self.failures + self.slow) / self.requests.max(Self::MIN_REQUESTS)
    }
}
