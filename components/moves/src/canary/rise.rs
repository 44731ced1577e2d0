//! Rise of the traffic share of a new version.

use std::time;

use super::Schedule;

/// Rise of the traffic share of a new version on one node: the schedule's, but little while the version
/// is doubted, until it has to be found good or bad.
///
/// Times are those since the start of the move.
#[derive(Debug, Clone)]
pub struct Rise {
    schedule: Schedule,
    /// Time of the last doubt.
    doubted_at: Option<time::Duration>,
    /// Time at which the share was last below that of the schedule.
    held_at: Option<time::Duration>,
}

impl Rise {
    /// Time for which a doubt lasts: some reports to the judges.
    const DOUBT_TIME: time::Duration = time::Duration::from_millis(600);
    /// Largest share of a version in doubt: little, and enough to find out.
    const DOUBT_SHARE: f64 = 0.2;

    /// Creates a rise that follows `schedule`.
    #[must_use]
    pub fn new(schedule: Schedule) -> Self {
        Self {
            schedule,
            doubted_at: None,
            held_at: None,
        }
    }

    /// Lowers the share for some time.
    pub fn doubt(&mut self, elapsed: time::Duration) {
        self.doubted_at = Some(elapsed);
    }

    /// Returns the share after `elapsed`, from 0 to 1.
    pub fn update(&mut self, elapsed: time::Duration) -> f64 {
        let planned = self.schedule.share(elapsed);
        if planned <= Self::DOUBT_SHARE || !self.is_held(elapsed) {
            return planned;
        }
        self.held_at = Some(elapsed);
        Self::DOUBT_SHARE
    }

    /// Whether the move may end as done after `elapsed`.
    #[must_use]
    pub fn may_end(&self, elapsed: time::Duration) -> bool {
        let full_time = self.schedule.full_time();
        let is_full = self.held_at.is_none_or(|at| elapsed >= at + full_time);
        is_full && self.schedule.may_end(elapsed)
    }

    fn is_held(&self, elapsed: time::Duration) -> bool {
        let is_doubted = self
            .doubted_at
            .is_some_and(|at| elapsed < at + Self::DOUBT_TIME);
        is_doubted && !self.schedule.has_to_decide(elapsed)
    }
}
