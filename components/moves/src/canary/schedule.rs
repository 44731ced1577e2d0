//! Shares of a short move over its time.

use std::time;

/// Shares of a new version over the time of a move, the same on every node.
///
/// A bad version may get a tenth of the requests of the whole time, so that half of the time goes by
/// with small shares; badness that shows only under load is then met with two fifths of the time left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    period: time::Duration,
}

impl Schedule {
    /// Parts of the period from which the shares hold.
    const STEPS: [(f64, f64); 6] = [
        (0.0, 0.02),
        (0.12, 0.04),
        (0.30, 0.10),
        (0.45, 0.25),
        (0.57, 0.60),
        (0.66, 1.0),
    ];
    /// Part of the period from which the move may be done.
    const DONE: f64 = 0.86;

    /// The shares of a move that has `period`.
    #[must_use]
    pub fn new(period: time::Duration) -> Self {
        Self { period }
    }

    /// The share after `elapsed`, from 0 to 1.
    #[must_use]
    pub fn share(&self, elapsed: time::Duration) -> f64 {
        let part = self.part(elapsed);
        let steps = Self::STEPS.iter().rev();
        let step = steps.into_iter().find(|step| part >= step.0);
        step.map_or(0.0, |step| step.1)
    }

    /// Whether the new version may be left with all traffic after `elapsed`.
    #[must_use]
    pub fn may_end(&self, elapsed: time::Duration) -> bool {
        self.part(elapsed) >= Self::DONE
    }

    /// Whether the time of the move is over after `elapsed`.
    #[must_use]
    pub fn is_over(&self, elapsed: time::Duration) -> bool {
        elapsed >= self.period
    }

    fn part(&self, elapsed: time::Duration) -> f64 {
        elapsed.as_secs_f64() / self.period.as_secs_f64().max(0.001)
    }
}
