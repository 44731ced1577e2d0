//! Tests of one route.

use std::time;

use compact_str::{CompactString, format_compact};

use crate::block::Block;
use crate::contrast::{Logs, against, contrast};
use crate::trials::real;
use crate::{Counts, Detector, Health, Histogram, Pair, Settings, Trials};

/// Tests of one route, or of all routes together: old version against new version, failures and
/// slowness.
#[derive(Debug, Clone)]
pub struct Trial {
    /// The route; none for all routes together.
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

/// Requests in one data centre, whose latencies differ with the distance.
#[derive(Debug, Clone)]
struct Stratum {
    data_centre: CompactString,
    /// Latencies of the old version.
    latencies: Histogram,
    failures: Block,
    slowness: Block,
}

/// Bounds of what is not badness yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    failure_odds: f64,
    slow_odds: f64,
    slowdown: f64,
    slack: time::Duration,
}

/// When requests arrived and which of them count.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Season {
    pub(crate) now: time::Instant,
    /// Nothing counts yet.
    pub(crate) is_cold: bool,
    /// Latencies count.
    pub(crate) is_warm: bool,
}

/// What was slow among some requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Slow {
    old: Trials,
    new: Trials,
    /// Rate of slow requests to the old version.
    usual: f64,
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
    /// Part of all requests of a service that a bad version may make fail while it has the next
    /// share, which is a part of the move's time only.
    const EXPOSURE: f64 = 0.03;
    /// Excess that is to be ruled out at most.
    const EXCESS: f64 = 0.25;
    /// Requests that let a route be expected to bring evidence of its own, in multiples of what that
    /// needs on average.
    const AMPLE: f64 = 2.0;
    /// Standard deviations by which the old version's rate is taken higher than measured, so that
    /// a good version is not held to a rate that was low by chance.
    const DEVIATIONS: f64 = 2.0;

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
        bounds: Bounds,
        season: Season,
    ) -> Slow {
        let stratum = self.stratum(data_centre);
        let slow = if season.is_warm {
            stratum.slow(pair, bounds)
        } else {
            Slow::default()
        };
        stratum.absorb(&pair.old.histogram);
        self.absorb_slow(data_centre, pair, slow, bounds, season);
        slow
    }

    /// Takes what requests in one data centre showed, of which `slow` were slow.
    pub(crate) fn absorb_slow(
        &mut self,
        data_centre: &str,
        pair: &Pair,
        slow: Slow,
        bounds: Bounds,
        season: Season,
    ) {
        self.step.merge(pair);
        if !season.is_cold {
            let (old, new) = (failures(&pair.old), failures(&pair.new));
            let usual = self.failures.old.upper_rate(Self::DEVIATIONS);
            self.failures.absorb(old, new, usual);
            let block = self
                .stratum(data_centre)
                .failures
                .push(old, new, season.now);
            self.failures.compare(block, bounds.failure_odds);
        }
        self.slowness.absorb(slow.old, slow.new, slow.usual);
        let stratum = self.stratum(data_centre);
        let block = stratum.slowness.push(slow.old, slow.new, season.now);
        self.slowness.compare(block, bounds.slow_odds);
    }

    /// The route; empty for all routes together.
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
        self.failures.new.total
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

    /// Whether the route has enough requests for evidence of its own, where `pace` times as many
    /// as since the last step come in the time that the plan gives to the step.
    ///
    /// Where it has not, the evidence of all routes together has to do.
    pub(crate) fn is_busy(&self, pace: f64) -> bool {
        real(self.step.new.requests) * pace >= Self::AMPLE * self.needed()
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
        let worse = [(&self.failures, "fails"), (&self.slowness, "is slow")];
        let (side, how) = worse
            .into_iter()
            .find(|(side, _)| side.detector.log_evidence() >= bound)?;
        let Trials { total, hits } = side.new;
        let route = match self.route.as_str() {
            "" => CompactString::const_new("all routes"),
            route => format_compact!("route `{route}`"),
        };
        Some(format_compact!(
            "{route}: the new version {how} more often than the old one, \
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
                failures: Block::default(),
                slowness: Block::default(),
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

    /// Takes requests as evidence of health, where the old version has the rate `usual`.
    fn absorb(&mut self, old: Trials, new: Trials, usual: f64) {
        self.old.merge(old);
        self.new.merge(new);
        self.health.absorb(usual, new);
    }

    /// Compares the requests of a block, if one is complete.
    fn compare(&mut self, block: Option<(Trials, Trials)>, null: f64) {
        if let Some((old, new)) = block {
            self.detector.absorb(self.speaks(old, new, null));
        }
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
    const LEAST: u64 = 50;
    /// Requests to the old version at which earlier ones begin to weigh less.
    const MOST: u64 = 4_000;
    /// Part of the old version's requests that are faster than the reference.
    const QUANTILE: f64 = 0.9;

    /// What is slow in `pair`, by what was known of the old version before.
    fn slow(&self, pair: &Pair, bounds: Bounds) -> Slow {
        let Some(limit) = self.limit(bounds) else {
            return Slow::default();
        };
        let above = |histogram: &Histogram| Trials {
            total: histogram.total(),
            hits: histogram.above(limit),
        };
        Slow {
            old: above(&pair.old.histogram),
            new: above(&pair.new.histogram),
            usual: above(&self.latencies).upper_rate(Trial::DEVIATIONS),
        }
    }

    /// Bucket above which a request is slow; `None` before enough is known.
    fn limit(&self, bounds: Bounds) -> Option<usize> {
        if self.latencies.total() < Self::LEAST {
            return None;
        }
        let bucket = self.latencies.quantile(Self::QUANTILE)?;
        let reference = Histogram::lower(bucket + 1);
        let slow = reference.mul_f64(bounds.slowdown);
        Some(Histogram::bucket(slow.max(reference + bounds.slack)))
    }

    fn absorb(&mut self, old: &Histogram) {
        self.latencies.merge(old);
        if self.latencies.total() > Self::MOST {
            self.latencies.decay();
        }
    }
}

/// Requests that failed.
fn failures(counts: &Counts) -> Trials {
    Trials {
        total: counts.requests,
        hits: counts.failures,
    }
}
