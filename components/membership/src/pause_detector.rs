//! Detection of pauses of this process.

use std::time;

/// Detector of process pauses and late tasks, based on gaps between regular ticks.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    last: time::Instant,
    period: time::Duration,
}

impl PauseDetector {
    /// Creates a detector that expects a tick every `period`, starting at `now`.
    #[must_use]
    pub fn new(now: time::Instant, period: time::Duration) -> Self {
        Self { last: now, period }
    }

    /// Records a tick at `now` and returns its delay.
    pub fn tick(&mut self, now: time::Instant) -> time::Duration {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        gap.saturating_sub(self.period)
    }
}
