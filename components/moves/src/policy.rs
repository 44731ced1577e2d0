//! Decides the next action of a move.

use std::time;

use compact_str::{CompactString, format_compact};

use crate::{Analysis, Judge, Plan, Settings};

units::record! { eq:
    /// Next action of a runner.
    pub enum Action {
        /// Keep the current phase, for this reason.
        Hold(CompactString),
        /// Start this phase of the plan.
        Step(usize),
        /// Take the version back for this reason.
        TakeBack(CompactString),
        /// End the move: the version has been watched at the full share.
        Done,
    }
}

/// Facts that a decision needs besides the evidence.
#[derive(Debug, Clone, Copy, Default)]
pub struct Facts {
    /// Slots of the new version's ready backend servers.
    pub slots: u32,
}

/// Decides the next action of a move; the time is a parameter, which makes tests deterministic.
#[derive(Debug, Clone)]
pub struct Policy {
    settings: Settings,
    plan: Plan,
    judge: Judge,
    phase: usize,
    phase_start: time::Instant,
    /// Time at which this runner started, which may be long after the start of the move.
    resumed_at: time::Instant,
    deadline: time::Instant,
    /// Time since which the slots do not suffice for the current share.
    short_of_slots_since: Option<time::Instant>,
}

impl Policy {
    /// Resumes a move whose current phase started at `phase_start`.
    #[must_use]
    pub fn new(
        settings: &Settings,
        alpha: f64,
        deadline: time::Instant,
        phase: usize,
        phase_start: time::Instant,
        now: time::Instant,
    ) -> Self {
        let plan = Plan::new(settings, deadline);
        let horizon = horizon(settings, deadline.saturating_duration_since(now));
        let mut judge = Judge::new(settings, alpha, horizon, now);
        if phase > 0 {
            judge.begin_step(phase == 1, plan.share(phase + 1), now);
        }
        Self {
            settings: settings.clone(),
            plan,
            judge,
            phase,
            phase_start,
            resumed_at: now,
            deadline,
            short_of_slots_since: None,
        }
    }

    /// The judge that holds the evidence.
    #[must_use]
    pub fn judge(&self) -> &Judge {
        &self.judge
    }

    /// The judge, to add evidence.
    pub fn judge_mut(&mut self) -> &mut Judge {
        &mut self.judge
    }

    /// The current phase of the plan.
    #[must_use]
    pub fn phase(&self) -> usize {
        self.phase
    }

    /// Share of the new version in `phase`.
    #[must_use]
    pub fn share(&self, phase: usize) -> units::Share {
        self.plan.share(phase)
    }

    /// The next phase and its earliest planned start; `None` in the last phase.
    #[must_use]
    pub fn next(&self) -> Option<(usize, time::Instant)> {
        let planned = self.phase_start + self.plan.hold(self.phase, self.phase_start);
        (self.phase < self.plan.last()).then_some((self.phase + 1, planned))
    }

    /// Starts `phase`.
    pub fn begin(&mut self, phase: usize, now: time::Instant) {
        let is_first = self.phase == 0;
        self.phase = phase;
        self.phase_start = now;
        self.short_of_slots_since = None;
        self.judge
            .begin_step(is_first, self.plan.share(phase + 1), now);
    }

    /// Decides the next action.
    #[must_use]
    pub fn decide(&mut self, now: time::Instant, facts: Facts) -> Action {
        if let Some(alarm) = self.judge.alarm() {
            return Action::TakeBack(alarm.clone());
        }
        if self.settings.analysis == Analysis::Sequential
            && let Some(action) = self.check_slots(now, facts)
        {
            return action;
        }
        let hold = self.plan.hold(self.phase, self.phase_start);
        if self.phase == self.plan.last() {
            return self.decide_last(now, hold);
        }
        if now.saturating_duration_since(self.phase_start) < hold {
            return self.hold_until(now, CompactString::const_new("the plan holds this share"));
        }
        if self.phase == 0 {
            return self.step(1, now, facts);
        }
        if let Some(missing) = self.judge.missing_evidence(hold, now) {
            return self.hold_until(now, missing);
        }
        self.step(self.phase + 1, now, facts)
    }

    /// Decides in the last phase, at the full share.
    fn decide_last(&self, now: time::Instant, hold: time::Duration) -> Action {
        let watched = now.saturating_duration_since(self.phase_start);
        let missing = self.judge.missing_evidence(hold, now);
        if watched >= hold && missing.is_none() {
            return Action::Done;
        }
        let earliest = self.resumed_at + self.plan.shortest_of(self.phase);
        let latest = self.plan.latest_end(self.phase).max(earliest);
        match missing {
            Some(missing) if now >= latest => self.take_back(&missing),
            Some(missing) => Action::Hold(missing),
            None => Action::Hold(CompactString::const_new("the full share is watched")),
        }
    }

    fn step(&self, phase: usize, now: time::Instant, facts: Facts) -> Action {
        if !self.fits(self.plan.share(phase), facts) {
            let share = self.plan.share(phase);
            let slots = facts.slots;
            let text =
                format_compact!("{slots} ready slots of the new version do not take {share}");
            return self.hold_until(now, text);
        }
        // After a later step the remaining phases would get less than their shortest times.
        if now > self.plan.latest_end(self.phase) {
            return self.take_back("the steps that are left do not fit before the deadline");
        }
        Action::Step(phase)
    }

    /// Holds as long as the later phases fit before the deadline, otherwise takes the version back.
    fn hold_until(&self, now: time::Instant, reason: CompactString) -> Action {
        if now >= self.plan.latest_end(self.phase) {
            self.take_back(&reason)
        } else {
            Action::Hold(reason)
        }
    }

    fn take_back(&self, reason: &str) -> Action {
        Action::TakeBack(format_compact!("not shown to be good in time: {reason}"))
    }

    /// Whether the new version's slots suffice for `share` of the traffic.
    fn fits(&self, share: units::Share, facts: Facts) -> bool {
        if self.settings.analysis != Analysis::Sequential {
            return true;
        }
        let capacity = f64::from(facts.slots) * self.settings.occupancy.as_fraction();
        let demand = self.judge.demand().unwrap_or_default();
        facts.slots > 0 && demand * share.as_fraction() <= capacity
    }

    /// Steps back if the slots have not sufficed for the shortest time of a step.
    fn check_slots(&mut self, now: time::Instant, facts: Facts) -> Option<Action> {
        if self.phase == 0 || self.fits(self.plan.share(self.phase), facts) {
            self.short_of_slots_since = None;
            return None;
        }
        let since = *self.short_of_slots_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.settings.hold.0 {
            return None;
        }
        if facts.slots == 0 {
            let text = "no backend server of the new version is ready";
            return Some(Action::TakeBack(text.into()));
        }
        if self.phase > 1 {
            return Some(Action::Step(self.phase - 1));
        }
        None
    }

    /// The deadline of the move.
    #[must_use]
    pub fn deadline(&self) -> time::Instant {
        self.deadline
    }
}

/// Number of report periods in `time`, for the sequential tests.
pub(crate) fn horizon(settings: &Settings, time: time::Duration) -> u32 {
    let report = settings.report.0.as_secs_f64().max(0.001);
    let periods = (time.as_secs_f64() / report).min(1e6);
    // Within the range by the bound above.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let periods = periods as u32;
    periods
}
