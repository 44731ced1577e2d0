//! Usual latency, size and timeout of the requests on a route.

use std::cell;
use std::time;

use crate::timeouts::Timeouts;

/// Usual latency and size of the answers on a route, over all backend servers.
///
/// Latencies differ greatly between routes, so only the ratio to the usual latency of the route shows
/// how fast a backend server is.
#[derive(Debug, Default)]
pub struct Baseline {
    /// Usual latency in milliseconds; zero before the first answer.
    millis: cell::Cell<f64>,
    /// Usual bytes of a request and its answer.
    bytes: cell::Cell<f64>,
    /// Typical runtime over all backend servers in milliseconds, as their owners report it.
    work_ms: cell::Cell<f64>,
    /// Number of reports in it, up to the one from which on the weight is constant.
    work_reports: cell::Cell<u32>,
    timeouts: cell::RefCell<Timeouts>,
}

impl Baseline {
    /// Weight of a new value in the moving average.
    const SMOOTHING: f64 = 0.05;
    /// Largest ratio of one answer, so that a single slow answer has little effect on its server.
    const RATIO_MAX: f64 = 5.0;

    /// Records the size of a request and its answer, as far as it is known.
    pub fn observe_bytes(&self, bytes: u64) {
        // f64 is precise enough for message sizes.
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        let previous = self.bytes.get();
        let average = if previous == 0.0 {
            bytes
        } else {
            previous + (bytes - previous) * Self::SMOOTHING
        };
        self.bytes.set(average);
    }

    /// Returns the usual bytes of a request and its answer; zero before the first answer.
    #[must_use]
    pub fn bytes(&self) -> f64 {
        self.bytes.get()
    }

    /// Records the typical runtime at one backend server; returns its ratio to the one over all.
    pub fn observe_work(&self, millis: f64) -> f64 {
        const MAX_REPORTS: u32 = 20;
        let reports = (self.work_reports.get() + 1).min(MAX_REPORTS);
        self.work_reports.set(reports);
        let previous = self.work_ms.get();
        let usual = previous + (millis - previous) / f64::from(reports);
        self.work_ms.set(usual);
        millis / usual
    }

    /// Returns the typical runtime over all backend servers in milliseconds; zero before the first report.
    #[must_use]
    pub fn work_ms(&self) -> f64 {
        self.work_ms.get()
    }

    /// Records the timeout that a caller has set and returns the time that it has probably spent on earlier
    /// attempts of the same request.
    pub fn observe_timeout(&self, timeout: time::Duration) -> time::Duration {
        self.timeouts.borrow_mut().observe(timeout)
    }

    /// Returns the usual latency; zero before the first answer.
    #[must_use]
    pub fn latency(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.millis.get() / 1_000.0)
    }

    /// Records the latency of an answer; returns its ratio to the usual latency before it.
    pub fn observe_latency(&self, latency: time::Duration) -> f64 {
        let millis = (latency.as_secs_f64() * 1_000.0).max(0.1);
        let usual = self.millis.get();
        if usual == 0.0 {
            self.millis.set(millis);
            return 1.0;
        }
        self.millis.set(usual + (millis - usual) * Self::SMOOTHING);
        (millis / usual).min(Self::RATIO_MAX)
    }
}
