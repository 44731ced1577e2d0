//! Traffic shares of a short move over time.

use std::time;

/// Traffic shares of a new version over the time of a move, the same on every node.
///
/// A bad version may get a tenth of the requests of the whole move, so the shares stay small for half
/// of the time; a fault that appears only under load is then found with two fifths of the time left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    period: time::Duration,
}

impl Schedule {
    /// Fractions of the period from which each share applies, and the shares.
    const STEPS: [(f64, f64); 6] = [
        (0.0, 0.02),
        (0.12, 0.04),
        (0.30, 0.10),
        (0.45, 0.25),
        (0.57, 0.60),
        (0.66, 1.0),
    ];
    /// Fraction of the period from which a doubt no longer holds the share: the rest suffices to end
    /// the move as done.
    const DECIDE_AT: f64 = 0.8;
    /// Fraction of the period after which the move may end as done.
    const DONE_AFTER: f64 = 0.86;
    /// Fraction of the period for which the version has all traffic before the move ends as done.
    const FULL: f64 = 0.16;

    /// Creates the schedule of a move that takes `period`.
    #[must_use]
    pub fn new(period: time::Duration) -> Self {
        Self { period }
    }

    /// The share after `elapsed`, from 0 to 1.
    #[must_use]
    pub fn share(&self, elapsed: time::Duration) -> f64 {
        let fraction = self.fraction(elapsed);
        let steps = Self::STEPS.iter().rev();
        let step = steps.into_iter().find(|step| fraction >= step.0);
        step.map_or(0.0, |step| step.1)
    }

    /// Whether the move may end as done after `elapsed`.
    #[must_use]
    pub fn may_end(&self, elapsed: time::Duration) -> bool {
        self.fraction(elapsed) >= Self::DONE_AFTER
    }

    /// Whether a version in doubt has to be found good or bad after `elapsed`.
    #[must_use]
    pub fn has_to_decide(&self, elapsed: time::Duration) -> bool {
        self.fraction(elapsed) >= Self::DECIDE_AT
    }

    /// Time for which the version has all traffic before the move ends as done.
    #[must_use]
    pub fn full_time(&self) -> time::Duration {
        self.period.mul_f64(Self::FULL)
    }

    /// Whether the period has expired after `elapsed`.
    #[must_use]
    pub fn has_expired(&self, elapsed: time::Duration) -> bool {
        elapsed >= self.period
    }

    fn fraction(&self, elapsed: time::Duration) -> f64 {
        elapsed.as_secs_f64() / self.period.as_secs_f64().max(0.001)
    }
}
