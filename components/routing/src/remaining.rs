//! Remaining work of a backend server, as its owner has last reported it.

use std::time;

use crate::Baseline;

/// Remaining work of a backend server, as its owner has last reported it to this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Remaining {
    /// Time until a new request would start, in milliseconds.
    start_ms: f64,
    /// Moving average of the reported times.
    usual_start_ms: f64,
    /// Typical runtimes as a multiple of those of all backend servers of the service.
    pace: f64,
    /// Requests that this node has sent there since the report.
    sent: u32,
    /// Slots that were free at the report.
    free: f64,
    /// Time of the report; `None` before the first one.
    at: Option<time::Instant>,
}

impl Default for Remaining {
    fn default() -> Self {
        Self {
            start_ms: 0.0,
            usual_start_ms: 0.0,
            pace: 1.0,
            sent: 0,
            free: 0.0,
            at: None,
        }
    }
}

units::record! {
    /// What an owner tells with an answer about the work of its backend server.
    #[derive(Copy)]
    pub struct Report {
        /// Time until a new request would start, in milliseconds.
        pub start_ms: f64,
        /// Typical runtime of the route at this backend server, in milliseconds; zero before the first run.
        pub typical_ms: f64,
        /// Number of recent runs behind the typical runtime.
        pub runs: u32,
    }
}

impl Remaining {
    /// Weight of a report in the usual time until a start.
    const START_WEIGHT: f64 = 0.2;
    /// Number of runs with which a typical runtime counts half.
    const HALF_RUNS: f64 = 8.0;
    /// Weight of the pace in a report with many runs; those of different routes differ.
    const PACE_WEIGHT: f64 = 0.7;
    /// Limits of the pace; values beyond them are errors of measurement.
    const PACES: std::ops::RangeInclusive<f64> = 0.2..=5.0;
    /// Time after which a reported start has lost most of its weight: within it, the queue of a busy
    /// server has changed.
    const DECAY: time::Duration = time::Duration::from_millis(200);

    /// Applies a report with an answer of the route that `baseline` describes, with about `free` free slots.
    pub(crate) fn report(
        &mut self,
        report: &Report,
        free: f64,
        baseline: &Baseline,
        now: time::Instant,
    ) {
        let is_first = self.at.is_none();
        let weight = if is_first { 1.0 } else { Self::START_WEIGHT };
        self.usual_start_ms += (report.start_ms - self.usual_start_ms) * weight;
        self.start_ms = report.start_ms;
        self.sent = 0;
        self.free = free;
        self.at = Some(now);
        if report.typical_ms <= 0.0 {
            return;
        }
        let ratio = baseline.observe_work(report.typical_ms);
        let runs = f64::from(report.runs);
        let known = runs / (runs + Self::HALF_RUNS);
        let pace = ratio
            .powf(known)
            .clamp(*Self::PACES.start(), *Self::PACES.end());
        let weight = if is_first {
            1.0
        } else {
            Self::PACE_WEIGHT * known
        };
        self.pace += (pace - self.pace) * weight;
    }

    /// Counts a request that this node sends there.
    pub(crate) fn send(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    pub(crate) fn pace(&self) -> f64 {
        self.pace
    }

    /// Returns the expected time until a new request of `work_ms` at the usual pace starts, in
    /// milliseconds.
    pub(crate) fn start_ms(&self, work_ms: f64, slots: u32, now: time::Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let kept = (-age / Self::DECAY.as_secs_f64()).exp();
        let start = self.usual_start_ms + (self.start_ms - self.usual_start_ms) * kept;
        let queued = (f64::from(self.sent) - self.free).max(0.0);
        let since = queued * kept * work_ms * self.pace / f64::from(slots);
        start + since
    }
}
