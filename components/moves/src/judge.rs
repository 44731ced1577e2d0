//! Compares a new version with the old one by sequential tests.

use std::time;

use compact_str::{CompactString, format_compact};

use crate::trial::{Timing, Tolerance, Trial};
use crate::{Analysis, Crashes, Evidence, Fleet, Meter, Settings, Trials};

/// Compares a new version with the old one by sequential tests.
///
/// Each route has one test for failures and one for slowness, so that one bad route suffices. The
/// pooled requests of all routes have two tests as well, for services with little traffic. The false
/// alarm rate is divided among all tests.
#[derive(Debug, Clone)]
pub struct Judge {
    settings: Settings,
    /// Probability of a false alarm over the whole move.
    alpha: f64,
    horizon: u32,
    /// Share before which the evidence of health has to suffice.
    next_share: units::Share,
    /// Sorted by route.
    trials: Vec<Trial>,
    /// All routes together.
    pooled: Trial,
    crashes: Crashes,
    meter: Meter,
    step_start: time::Instant,
    /// Requests before this time do not count.
    cold_until: time::Instant,
    /// Latencies of requests before this time do not count.
    warm_from: time::Instant,
    warm_ups: u32,
    alarm: Option<CompactString>,
}

impl Judge {
    /// Largest number of backend server starts that get a warm-up time, so that one that restarts
    /// again and again is not exempt from the tests.
    const WARM_UPS: u32 = 8;

    /// Creates a judge with a false alarm probability of `alpha` over about `horizon` periods.
    #[must_use]
    pub fn new(settings: &Settings, alpha: f64, horizon: u32, now: time::Instant) -> Self {
        let next_share = settings.steps.first().copied().unwrap_or_default();
        Self {
            settings: settings.clone(),
            alpha,
            horizon,
            next_share,
            trials: Vec::new(),
            pooled: Trial::new("", next_share, horizon),
            crashes: Crashes::new(settings, horizon),
            meter: Meter::default(),
            step_start: now,
            cold_until: now,
            warm_from: now,
            warm_ups: 0,
            alarm: None,
        }
    }

    /// Starts collecting evidence for the step to `next_share`.
    pub fn begin_step(&mut self, first: bool, next_share: units::Share, now: time::Instant) {
        self.next_share = next_share;
        self.step_start = now;
        self.warm_from = self.warm_from.max(now + self.settings.warm_up.0);
        if first {
            self.cold_until = now + self.settings.warm_up.0;
        }
        for trial in self.trials.iter_mut().chain([&mut self.pooled]) {
            trial.begin_step(next_share);
        }
    }

    /// Ignores latencies for the warm-up time, after a backend server of the new version has started.
    pub fn warm_up(&mut self, now: time::Instant) {
        if self.warm_ups < Self::WARM_UPS {
            self.warm_ups += 1;
            self.warm_from = self.warm_from.max(now + self.settings.warm_up.0);
        }
    }

    /// Adds the evidence of one data centre for one period.
    pub fn absorb(&mut self, data_centre: &str, evidence: &Evidence, now: time::Instant) {
        let timing = Timing {
            now,
            is_cold: now < self.cold_until,
            is_warm: now >= self.warm_from,
        };
        let tolerance = Tolerance::from(&self.settings);
        let mut latency = time::Duration::ZERO;
        for (route, pair) in evidence.routes() {
            latency += pair.old.latency + pair.new.latency;
            let trial = self.trial_mut(route);
            let slow = trial.update(data_centre, pair, tolerance, timing);
            self.pooled
                .update_with(data_centre, pair, slow, tolerance, timing);
        }
        self.meter.update(latency, now);
        self.update_alarm();
    }

    /// Adds the crashes of both versions' backend servers within `elapsed`.
    pub fn absorb_fleets(&mut self, old: Fleet, new: Fleet, elapsed: time::Duration) {
        self.crashes.update(old, new, elapsed);
        self.update_alarm();
    }

    /// Reason why the version is bad, once a test has found it so.
    #[must_use]
    pub fn alarm(&self) -> Option<&CompactString> {
        self.alarm.as_ref()
    }

    /// Mean number of requests in flight to both versions; `None` before the first measurement.
    #[must_use]
    pub fn demand(&self) -> Option<f64> {
        self.meter.demand()
    }

    /// Evidence that is missing for the next share, where the current step takes `hold`; `None` if the
    /// evidence suffices.
    #[must_use]
    pub fn missing_evidence(
        &self,
        hold: time::Duration,
        now: time::Instant,
    ) -> Option<CompactString> {
        if self.settings.analysis != Analysis::Sequential {
            return None;
        }
        if !self.pooled.is_healthy() {
            let requests = self.pooled.requests();
            let needed = self.pooled.expected_requests().ceil();
            return Some(format_compact!(
                "{requests} requests to the new version do not suffice, about {needed} are needed"
            ));
        }
        let elapsed = now.saturating_duration_since(self.step_start);
        let pace = hold.as_secs_f64() / elapsed.as_secs_f64().max(0.001);
        let is_missing = |trial: &&Trial| !trial.is_healthy() && trial.is_busy(pace);
        self.trials.iter().find(is_missing).map(|trial| {
            let (route, requests) = (trial.route(), trial.requests());
            format_compact!(
                "route `{route}`: {requests} requests to the new version do not suffice"
            )
        })
    }

    /// The tests by route.
    pub fn trials(&self) -> impl Iterator<Item = &Trial> {
        self.trials.iter()
    }

    /// Logarithm of the evidence at which a test raises an alarm.
    #[must_use]
    pub fn bound(&self) -> f64 {
        // Two for each route, two for all routes together, and one for crashes.
        let tests = u32::try_from(2 * self.trials.len() + 3).unwrap_or(u32::MAX);
        (f64::from(tests) / self.alpha).ln()
    }

    fn trial_mut(&mut self, route: &str) -> &mut Trial {
        let position = self.trials.binary_search_by(|one| one.route().cmp(route));
        let index = position.unwrap_or_else(|index| {
            let trial = Trial::new(route, self.next_share, self.horizon);
            self.trials.insert(index, trial);
            index
        });
        &mut self.trials[index]
    }

    /// Raises the alarm if a test has found the version bad; a raised alarm stays.
    fn update_alarm(&mut self) {
        if self.alarm.is_some() {
            return;
        }
        self.alarm = match self.settings.analysis {
            Analysis::Sequential => self.sequential_alarm(),
            Analysis::Threshold => self.threshold_alarm(),
            Analysis::Schedule => None,
        };
    }

    fn sequential_alarm(&self) -> Option<CompactString> {
        let bound = self.bound();
        if self.crashes.log_evidence() >= bound {
            let count = self.crashes.count();
            return Some(format_compact!(
                "{count} crashes of backend servers of the new version"
            ));
        }
        let mut trials = self.trials.iter().chain([&self.pooled]);
        trials.find_map(|trial| trial.alarm(bound))
    }

    /// The method used for comparison: a fixed threshold for the failure rate in this step.
    fn threshold_alarm(&self) -> Option<CompactString> {
        const MIN_REQUESTS: u64 = 50;
        let Trials { total, hits } = self.pooled.failures();
        let threshold = u64::from(self.settings.threshold.parts());
        let is_above = hits * u64::from(units::Share::WHOLE.parts()) > total * threshold;
        (is_above && total >= MIN_REQUESTS)
            .then(|| format_compact!("{hits} of {total} requests failed"))
    }
}
