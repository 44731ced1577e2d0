//! Schedule of a move, planned backwards from its deadline.

use std::time;

use crate::Settings;

/// Schedule of a move: its phases and the time that each may take.
///
/// Phase 0 only observes the old version. One phase for each step follows; the last, at the full
/// share, watches the new version before the move ends.
#[derive(Debug, Clone)]
pub struct Plan {
    phases: Vec<Phase>,
    /// Latest time at which the last phase may end.
    end: time::Instant,
}

#[derive(Debug, Clone, Copy)]
struct Phase {
    share: units::Share,
    /// Fraction of the time for this phase.
    weight: f64,
    shortest: time::Duration,
}

impl Plan {
    /// Fraction of the time in which only the old version is observed.
    const OBSERVE_WEIGHT: f64 = 0.05;
    /// Fraction of the time that stays free at the end, so that an outage of the platform does not
    /// make the move of a good version miss its deadline.
    const MARGIN_WEIGHT: f64 = 0.1;
    /// Fraction of the time for the watch at the full share.
    const WATCH_WEIGHT: f64 = 0.25;

    /// Creates the plan of a move that has to end by `deadline`.
    #[must_use]
    pub fn new(settings: &Settings, deadline: time::Instant) -> Self {
        let last = settings.steps.len().saturating_sub(1);
        let steps_weight = 1.0 - Self::OBSERVE_WEIGHT - Self::WATCH_WEIGHT;
        let step_weight = steps_weight / f64::from(u32::try_from(last.max(1)).unwrap_or(u32::MAX));
        let steps = settings
            .steps
            .iter()
            .enumerate()
            .map(|(index, share)| Phase {
                share: *share,
                weight: if index == last {
                    Self::WATCH_WEIGHT
                } else {
                    step_weight
                },
                shortest: if index == last {
                    settings.watch.0
                } else {
                    settings.hold.0
                },
            });
        let observe = Phase {
            share: units::Share::NONE,
            weight: Self::OBSERVE_WEIGHT,
            shortest: settings.observe.0,
        };
        let reserved = deadline.checked_sub(settings.reserve.0);
        Self {
            phases: std::iter::once(observe).chain(steps).collect(),
            end: reserved.unwrap_or(deadline),
        }
    }

    /// Shortest time that a move can take.
    #[must_use]
    pub fn shortest(settings: &Settings) -> time::Duration {
        let steps = u32::try_from(settings.steps.len().saturating_sub(1)).unwrap_or(u32::MAX);
        let holds = settings.hold.0 * steps;
        settings.observe.0 + holds + settings.watch.0 + settings.reserve.0
    }

    /// The last phase, at the full share.
    #[must_use]
    pub fn last(&self) -> usize {
        self.phases.len() - 1
    }

    /// Share of the new version in `phase`; the full share after the last phase.
    #[must_use]
    pub fn share(&self, phase: usize) -> units::Share {
        let phase = self.phases.get(phase);
        phase.map_or(units::Share::WHOLE, |phase| phase.share)
    }

    /// Shortest time of `phase`.
    #[must_use]
    pub fn shortest_of(&self, phase: usize) -> time::Duration {
        self.phases[phase.min(self.last())].shortest
    }

    /// Planned time of `phase` when it begins at `start`: its fraction of the remaining time, limited
    /// so that every later phase gets its shortest time.
    #[must_use]
    pub fn hold(&self, phase: usize, start: time::Instant) -> time::Duration {
        let phase = phase.min(self.last());
        let remaining = self.end.saturating_duration_since(start);
        let weights: f64 = self.phases[phase..].iter().map(|one| one.weight).sum();
        let weights = weights + Self::MARGIN_WEIGHT;
        let planned = remaining.mul_f64((self.phases[phase].weight / weights).min(1.0));
        let longest = remaining.saturating_sub(self.shortest_after(phase));
        planned.min(longest).max(self.phases[phase].shortest)
    }

    /// Latest time at which `phase` may end.
    #[must_use]
    pub fn latest_end(&self, phase: usize) -> time::Instant {
        let later = self.shortest_after(phase.min(self.last()));
        self.end.checked_sub(later).unwrap_or(self.end)
    }

    /// Shortest time of all phases after `phase`.
    fn shortest_after(&self, phase: usize) -> time::Duration {
        self.phases[phase + 1..]
            .iter()
            .map(|one| one.shortest)
            .sum()
    }
}
