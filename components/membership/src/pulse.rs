//! Notices that this process did not run for a while.

use std::time;

/// Notices that this process was paused, or that its tasks ran late, by gaps between regular ticks.
#[derive(Debug, Clone, Copy)]
pub struct Pulse {
    last: time::Instant,
    period: time::Duration,
}

impl Pulse {
    /// Ticks are due each `period` from `now` on.
    #[must_use]
    pub fn new(now: time::Instant, period: time::Duration) -> Self {
        Self { last: now, period }
    }

    /// Takes the tick at `now`; returns by how much it is late.
    pub fn tick(&mut self, now: time::Instant) -> time::Duration {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        gap.saturating_sub(self.period)
    }
}
