//! Tests of one route.

use std::time;

use compact_str::{CompactString, format_compact};

use crate::contrast::{Logs, against, contrast};
use crate::judge::{Slow, failures};
use crate::{Detector, Health, Histogram, Pair, Settings, Trials};

/// Tests of one route: old version against new version, failures and slowness.
#[derive(Debug, Clone)]
pub struct Trial {
    route: CompactString,
    /// Sorted by data centre.
    strata: Vec<Stratum>,
    failures: Side,
    slowness: Side,
    /// Everything since the last step.
    step: Pair,
}

/// The test of one kind of hit.
#[derive(Debug, Clone)]
struct Side {
    detector: Detector,
    health: Health,
    /// Requests to the old version since the move began.
    old: Trials,
    /// Requests to the new version since the last step.
    new: Trials,
}

/// Latencies of the old version in one data centre, which differ with the distance.
#[derive(Debug, Clone)]
struct Stratum {
    data_centre: CompactString,
    latencies: Histogram,
}

/// What requests of one period mean for the tests of a route.
pub(crate) struct Bounds {
    /// Ratio of the odds that is not badness yet.
    pub(crate) failure_odds: f64,
    pub(crate) slow_odds: f64,
    pub(crate) slowdown: f64,
    pub(crate) slack: time::Duration,
}

impl From<&Settings> for Bounds {
    fn from(settings: &Settings) -> Self {
        Self {
            failure_odds: settings.failure_odds,
            slow_odds: settings.slow_odds,
            slowdown: settings.slowdown,
            slack: settings.slack.0,
        }
    }
}

impl Trial {
    /// Part of all requests of a service that a bad version may make fail at the next share.
    const EXPOSURE: f64 = 0.02;
    /// Excess that is to be ruled out at most.
    const EXCESS: f64 = 0.25;

    /// Tests of `route` without evidence; the first step is to `next_share`.
    #[must_use]
    pub fn new(route: &str, next_share: units::Share, horizon: u32) -> Self {
        let side = || Side::new(Self::excess(next_share), horizon);
        Self {
            route: route.into(),
            strata: Vec::new(),
            failures: side(),
            slowness: side(),
            step: Pair::default(),
        }
    }

    /// The excess to be ruled out before the step to `next_share`: one that would make more than
    /// the tolerated part of the service's requests fail at that share.
    fn excess(next_share: units::Share) -> f64 {
        (Self::EXPOSURE / next_share.as_fraction().max(0.000_1)).min(Self::EXCESS)
    }

    pub(crate) fn begin_step(&mut self, next_share: units::Share) {
        let excess = Self::excess(next_share);
        self.failures.begin_step(excess);
        self.slowness.begin_step(excess);
        self.step = Pair::default();
    }

    /// Takes what requests in one data centre showed; returns what of it was slow.
    pub(crate) fn absorb(
        &mut self,
        data_centre: &str,
        pair: &Pair,
        bounds: &Bounds,
        is_cold: bool,
        is_warm: bool,
    ) -> Slow {
        self.step.merge(pair);
        if !is_cold {
            let (old, new) = (failures(&pair.old), failures(&pair.new));
            self.failures.absorb(old, new, bounds.failure_odds);
        }
        let stratum = self.stratum(data_centre);
        let limit = stratum.limit(bounds).filter(|_| is_warm);
        let slow = limit.map_or_else(Slow::default, |limit| Slow::of(pair, limit));
        stratum.absorb(&pair.old.histogram);
        self.slowness.absorb(slow.old, slow.new, bounds.slow_odds);
        slow
    }

    /// Takes what requests on one of several routes showed, for the evidence of health only.
    pub(crate) fn absorb_pooled(&mut self, pair: &Pair, slow: Slow, is_cold: bool) {
        self.step.merge(pair);
        if !is_cold {
            let (old, new) = (failures(&pair.old), failures(&pair.new));
            self.failures.absorb_health(old, new);
        }
        self.slowness.absorb_health(slow.old, slow.new);
    }

    /// The route.
    #[must_use]
    pub fn route(&self) -> &str {
        &self.route
    }

    /// Requests since the last step.
    #[must_use]
    pub fn step(&self) -> &Pair {
        &self.step
    }

    /// Requests to the new version that counted since the last step.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.failures.health.requests()
    }

    /// Requests to both versions since the last step.
    pub(crate) fn all_requests(&self) -> f64 {
        crate::trials::real(self.step.old.requests + self.step.new.requests)
    }

    /// Failures of the new version since the last step.
    pub(crate) fn failures(&self) -> Trials {
        self.failures.new
    }

    /// Whether the evidence of health suffices for the next step.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.failures.health.is_shown() && self.slowness.is_healthy_or_blind()
    }

    /// Requests that the evidence of health is expected to need.
    pub(crate) fn needed(&self) -> f64 {
        let failures = self.failures.needed();
        if self.slowness.is_blind() {
            failures
        } else {
            failures.max(self.slowness.needed())
        }
    }

    /// Whether the route has enough requests for evidence of its own, where `ahead` times as many
    /// as since the last step are expected.
    pub(crate) fn is_busy(&self, ahead: f64) -> bool {
        crate::trials::real(self.step.new.requests) * ahead.max(1.0) >= self.needed()
    }

    /// What the tests say, for people.
    #[must_use]
    pub fn verdict(&self, bound: f64) -> CompactString {
        match self.alarm(bound) {
            Some(alarm) => alarm,
            None if self.is_healthy() => CompactString::const_new("healthy"),
            None => CompactString::const_new("more requests needed"),
        }
    }

    /// Why the route shows badness, where evidence exceeds `bound`.
    pub(crate) fn alarm(&self, bound: f64) -> Option<CompactString> {
        let route = &self.route;
        let worse = [(&self.failures, "fails"), (&self.slowness, "is slow")];
        let (side, how) = worse
            .into_iter()
            .find(|(side, _)| side.detector.log_evidence() >= bound)?;
        let Trials { total, hits } = side.new;
        Some(format_compact!(
            "route `{route}`: the new version {how} more often than the old one, \
             {hits} of {total} requests since the last step"
        ))
    }

    fn stratum(&mut self, data_centre: &str) -> &mut Stratum {
        let found = self
            .strata
            .binary_search_by(|one| one.data_centre.as_str().cmp(data_centre));
        let place = found.unwrap_or_else(|place| {
            let stratum = Stratum {
                data_centre: data_centre.into(),
                latencies: Histogram::default(),
            };
            self.strata.insert(place, stratum);
            place
        });
        &mut self.strata[place]
    }
}

impl Side {
    /// Standard deviations above the old version's rate for the comparison with its past.
    const PAST_DEVIATIONS: f64 = 3.3;

    fn new(excess: f64, horizon: u32) -> Self {
        Self {
            detector: Detector::new(horizon),
            health: Health::new(excess),
            old: Trials::default(),
            new: Trials::default(),
        }
    }

    fn begin_step(&mut self, excess: f64) {
        self.health = Health::new(excess);
        self.new = Trials::default();
    }

    fn absorb(&mut self, old: Trials, new: Trials, null: f64) {
        self.detector.absorb(self.speaks(old, new, null));
        self.absorb_health(old, new);
    }

    fn absorb_health(&mut self, old: Trials, new: Trials) {
        self.old.merge(old);
        self.health.absorb(self.old.rate(), new);
        self.new.merge(new);
    }

    /// Compares with the old version over the same time, or with its past where it has no requests.
    fn speaks(&self, old: Trials, new: Trials, null: f64) -> Logs {
        if old.total > 0 || self.old.total == 0 {
            contrast(old, new, null)
        } else {
            let past = self.old.upper_rate(Self::PAST_DEVIATIONS);
            against(past, new, null)
        }
    }

    fn needed(&self) -> f64 {
        self.health.needed(self.old.rate())
    }

    /// Whether nothing can be said, since the old version's latencies are not known.
    fn is_blind(&self) -> bool {
        self.old.total == 0
    }

    fn is_healthy_or_blind(&self) -> bool {
        self.is_blind() || self.health.is_shown()
    }
}

impl Stratum {
    /// Requests to the old version before its latencies are a reference.
    const LEAST: u64 = 20;
    /// Requests to the old version at which earlier ones begin to weigh less.
    const MOST: u64 = 4_000;
    /// Part of the old version's requests that are faster than the reference.
    const QUANTILE: f64 = 0.9;

    /// Bucket above which a request is slow; `None` before enough is known.
    fn limit(&self, bounds: &Bounds) -> Option<usize> {
        if self.latencies.total() < Self::LEAST {
            return None;
        }
        let bucket = self.latencies.quantile(Self::QUANTILE)?;
        let reference = Histogram::lower(bucket + 1);
        let slow = reference
            .mul_f64(bounds.slowdown)
            .max(reference + bounds.slack);
        Some(Histogram::bucket(slow))
    }

    fn absorb(&mut self, old: &Histogram) {
        self.latencies.merge(old);
        if self.latencies.total() > Self::MOST {
            self.latencies.decay();
        }
    }
}
