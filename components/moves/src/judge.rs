//! Judges a new version by what requests to it and to the old one show.

use std::time;

use compact_str::{CompactString, format_compact};

use crate::trial::{Bounds, Season, Trial};
use crate::{Analysis, Crashes, Evidence, Fleet, Meter, Settings, Trials};

/// Judges a new version by what requests to it and to the old one show.
///
/// Each route has a test of its own for failures and one for slowness, so that one bad route
/// suffices, and so have all routes together, for services with little traffic. The rate of wrong
/// alarms is divided among them.
#[derive(Debug, Clone)]
pub struct Judge {
    settings: Settings,
    /// Probability of a wrong alarm over the whole move.
    alpha: f64,
    horizon: u32,
    /// Share that the evidence of health is for.
    next_share: units::Share,
    /// Sorted by route.
    trials: Vec<Trial>,
    /// All routes together.
    pooled: Trial,
    crashes: Crashes,
    meter: Meter,
    step_since: time::Instant,
    /// Requests before this time do not count.
    cold_until: time::Instant,
    /// Latencies of requests before this time do not count.
    warm_from: time::Instant,
    warm_ups: u32,
    alarm: Option<CompactString>,
}

impl Judge {
    /// Most starts of backend servers that get a time to warm up; one that starts over and over
    /// is no reason to look away.
    const WARM_UPS: u32 = 8;

    /// Judges with a probability of `alpha` for a wrong alarm, over about `horizon` periods.
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
            step_since: now,
            cold_until: now,
            warm_from: now,
            warm_ups: 0,
            alarm: None,
        }
    }

    /// Begins to collect evidence for the step to `next_share`.
    pub fn begin_step(&mut self, first: bool, next_share: units::Share, now: time::Instant) {
        self.next_share = next_share;
        self.step_since = now;
        self.warm_from = self.warm_from.max(now + self.settings.warm_up.0);
        if first {
            self.cold_until = now + self.settings.warm_up.0;
        }
        for trial in self.trials.iter_mut().chain([&mut self.pooled]) {
            trial.begin_step(next_share);
        }
    }

    /// Leaves the latencies out for a while, since a backend server of the new version has started.
    pub fn warm_up(&mut self, now: time::Instant) {
        if self.warm_ups < Self::WARM_UPS {
            self.warm_ups += 1;
            self.warm_from = self.warm_from.max(now + self.settings.warm_up.0);
        }
    }

    /// Takes what requests in one data centre showed in one period.
    pub fn absorb(&mut self, data_centre: &str, evidence: &Evidence, now: time::Instant) {
        let season = Season {
            now,
            is_cold: now < self.cold_until,
            is_warm: now >= self.warm_from,
        };
        let bounds = Bounds::from(&self.settings);
        let mut latency = time::Duration::ZERO;
        for (route, pair) in evidence.routes() {
            latency += pair.old.latency + pair.new.latency;
            let trial = self.trial(route);
            let slow = trial.absorb(data_centre, pair, bounds, season);
            self.pooled
                .absorb_slow(data_centre, pair, slow, bounds, season);
        }
        self.meter.absorb(latency, now);
        self.look();
    }

    /// Takes what the backend servers of both versions showed over `elapsed`.
    pub fn absorb_fleets(&mut self, old: Fleet, new: Fleet, elapsed: time::Duration) {
        self.crashes.absorb(old, new, elapsed);
        self.look();
    }

    /// Why the version is bad, as soon as that has shown.
    #[must_use]
    pub fn alarm(&self) -> Option<&CompactString> {
        self.alarm.as_ref()
    }

    /// Requests in flight to both versions; `None` before it was measured.
    #[must_use]
    pub fn demand(&self) -> Option<f64> {
        self.meter.demand()
    }

    /// What is missing until the version has shown to be healthy enough for the next share, where
    /// this step takes `hold`.
    #[must_use]
    pub fn missing(&self, hold: time::Duration, now: time::Instant) -> Option<CompactString> {
        if self.settings.analysis != Analysis::Sequential {
            return None;
        }
        if !self.pooled.is_healthy() {
            let requests = self.pooled.requests();
            let needed = self.pooled.needed().ceil();
            return Some(format_compact!(
                "{requests} requests to the new version do not suffice, about {needed} are needed"
            ));
        }
        let elapsed = now.saturating_duration_since(self.step_since);
        let pace = hold.as_secs_f64() / elapsed.as_secs_f64().max(0.001);
        let missing = |trial: &&Trial| !trial.is_healthy() && trial.is_busy(pace);
        self.trials.iter().find(missing).map(|trial| {
            let (route, requests) = (trial.route(), trial.requests());
            format_compact!(
                "route `{route}`: {requests} requests to the new version do not suffice"
            )
        })
    }

    /// The evidence by route since the last step.
    pub fn trials(&self) -> impl Iterator<Item = &Trial> {
        self.trials.iter()
    }

    /// Logarithm of the evidence that a test has to exceed.
    #[must_use]
    pub fn bound(&self) -> f64 {
        // Two for each route and for all routes together, and that of crashes.
        let tests = u32::try_from(2 * self.trials.len() + 3).unwrap_or(u32::MAX);
        (f64::from(tests) / self.alpha).ln()
    }

    fn trial(&mut self, route: &str) -> &mut Trial {
        let found = self.trials.binary_search_by(|one| one.route().cmp(route));
        let place = found.unwrap_or_else(|place| {
            let trial = Trial::new(route, self.next_share, self.horizon);
            self.trials.insert(place, trial);
            place
        });
        &mut self.trials[place]
    }

    /// Raises the alarm where a test says so; it stays raised.
    fn look(&mut self) {
        if self.alarm.is_some() {
            return;
        }
        self.alarm = match self.settings.analysis {
            Analysis::Sequential => self.look_sequential(),
            Analysis::Threshold => self.look_threshold(),
            Analysis::Schedule => None,
        };
    }

    fn look_sequential(&self) -> Option<CompactString> {
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

    /// The comparison for experiments: a bare threshold of the rate of failures at this step.
    fn look_threshold(&self) -> Option<CompactString> {
        const LEAST_REQUESTS: u64 = 50;
        let Trials { total, hits } = self.pooled.failures();
        let threshold = u64::from(self.settings.threshold.parts());
        let is_above = hits * u64::from(units::Share::WHOLE.parts()) > total * threshold;
        (is_above && total >= LEAST_REQUESTS)
            .then(|| format_compact!("{hits} of {total} requests failed"))
    }
}
