//! Sequential tests of one route.

use std::time;

use compact_str::{CompactString, format_compact};

use crate::block::Block;
use crate::contrast::{LogRatios, one_sample, two_sample};
use crate::trials::as_f64;
use crate::{Counts, Detector, Health, Histogram, Pair, Settings, Trials};

/// Tests of one route, or of all routes together, that compare the failures and the slowness of the
/// new version with those of the old one.
#[derive(Debug, Clone)]
pub struct Trial {
    /// The route; empty for all routes together.
    route: CompactString,
    /// Sorted by data centre.
    strata: Vec<Stratum>,
    failures: HitTest,
    slowness: HitTest,
    /// Requests since the last step.
    step: Pair,
}

/// Tests of one kind of hit.
#[derive(Debug, Clone)]
struct HitTest {
    detector: Detector,
    health: Health,
    /// Requests to the old version since the move began.
    old: Trials,
    /// Requests to the new version since the last step.
    new: Trials,
}

/// Requests in one data centre; latencies differ between data centres with the distance.
#[derive(Debug, Clone)]
struct Stratum {
    data_centre: CompactString,
    /// Latencies of the old version.
    latencies: Histogram,
    failures: Block,
    slowness: Block,
}

/// Differences between the versions that are not a fault of the new one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tolerance {
    failure_odds: f64,
    slow_odds: f64,
    slowdown: f64,
    slack: time::Duration,
}

/// Time at which requests arrived, and which of them count.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timing {
    pub(crate) now: time::Instant,
    /// Whether no requests count yet.
    pub(crate) is_cold: bool,
    /// Whether latencies count.
    pub(crate) is_warm: bool,
}

/// Counts of slow requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Slowness {
    old: Trials,
    new: Trials,
    /// Rate of slow requests to the old version.
    baseline_rate: f64,
}

impl From<&Settings> for Tolerance {
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
    /// Fraction of all requests of a service that a bad version may make fail while it has the next
    /// share, which lasts only for a part of the move.
    const MAX_EXPOSURE: f64 = 0.03;
    /// Largest margin that is to be ruled out.
    const MAX_MARGIN: f64 = 0.25;
    /// Requests with which a route is expected to provide sufficient evidence by itself, as a multiple
    /// of the average number needed.
    const AMPLE_FACTOR: f64 = 2.0;
    /// Standard deviations by which the old version's rate is raised, so that a good version is not
    /// compared with a rate that was low by chance.
    const DEVIATIONS: f64 = 2.0;

    /// Creates the tests of `route` without evidence; the first step is to `next_share`.
    #[must_use]
    pub fn new(route: &str, next_share: units::Share, horizon: u32) -> Self {
        let test = || HitTest::new(Self::margin(next_share), horizon);
        Self {
            route: route.into(),
            strata: Vec::new(),
            failures: test(),
            slowness: test(),
            step: Pair::default(),
        }
    }

    /// The margin to be ruled out before the step to `next_share`: an increase of the rate that would
    /// make more than the tolerated fraction of the service's requests fail at that share.
    fn margin(next_share: units::Share) -> f64 {
        (Self::MAX_EXPOSURE / next_share.as_fraction().max(0.000_1)).min(Self::MAX_MARGIN)
    }

    pub(crate) fn begin_step(&mut self, next_share: units::Share) {
        let margin = Self::margin(next_share);
        self.failures.begin_step(margin);
        self.slowness.begin_step(margin);
        self.step = Pair::default();
    }

    /// Adds requests of one data centre; returns the counts of slow requests among them.
    pub(crate) fn update(
        &mut self,
        data_centre: &str,
        pair: &Pair,
        tolerance: Tolerance,
        timing: Timing,
    ) -> Slowness {
        let stratum = self.stratum(data_centre);
        let slow = if timing.is_warm {
            stratum.slow(pair, tolerance)
        } else {
            Slowness::default()
        };
        stratum.update(&pair.old.histogram);
        self.update_with(data_centre, pair, slow, tolerance, timing);
        slow
    }

    /// Adds requests of one data centre with the given counts of slow requests.
    pub(crate) fn update_with(
        &mut self,
        data_centre: &str,
        pair: &Pair,
        slow: Slowness,
        tolerance: Tolerance,
        timing: Timing,
    ) {
        self.step.merge(pair);
        if !timing.is_cold {
            let (old, new) = (failures(&pair.old), failures(&pair.new));
            let baseline_rate = self.failures.old.upper_rate(Self::DEVIATIONS);
            self.failures.update(old, new, baseline_rate);
            let block = self
                .stratum(data_centre)
                .failures
                .push(old, new, timing.now);
            self.failures.compare(block, tolerance.failure_odds);
        }
        self.slowness.update(slow.old, slow.new, slow.baseline_rate);
        let stratum = self.stratum(data_centre);
        let block = stratum.slowness.push(slow.old, slow.new, timing.now);
        self.slowness.compare(block, tolerance.slow_odds);
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

    /// Number of counted requests to the new version since the last step.
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
        self.failures.health.is_sufficient() && self.slowness.is_healthy_or_unknown()
    }

    /// Expected number of requests until the evidence of health suffices.
    pub(crate) fn expected_requests(&self) -> f64 {
        let failures = self.failures.expected_requests();
        if self.slowness.lacks_reference() {
            failures
        } else {
            failures.max(self.slowness.expected_requests())
        }
    }

    /// Whether the route has enough requests to provide sufficient evidence by itself, given that
    /// the whole step brings `pace` times the requests since the last step.
    ///
    /// Otherwise the evidence of all routes together has to suffice.
    pub(crate) fn is_busy(&self, pace: f64) -> bool {
        as_f64(self.step.new.requests) * pace >= Self::AMPLE_FACTOR * self.expected_requests()
    }

    /// Result of the tests in readable form.
    #[must_use]
    pub fn verdict(&self, bound: f64) -> CompactString {
        match self.alarm(bound) {
            Some(alarm) => alarm,
            None if self.is_healthy() => CompactString::const_new("healthy"),
            None => CompactString::const_new("more requests needed"),
        }
    }

    /// Reason for an alarm, if the evidence of a test has reached `bound`.
    pub(crate) fn alarm(&self, bound: f64) -> Option<CompactString> {
        let tests = [(&self.failures, "fails"), (&self.slowness, "is slow")];
        let (test, how) = tests
            .into_iter()
            .find(|(test, _)| test.detector.log_evidence() >= bound)?;
        let Trials { total, hits } = test.new;
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
        let position = self
            .strata
            .binary_search_by(|one| one.data_centre.as_str().cmp(data_centre));
        let index = position.unwrap_or_else(|index| {
            let stratum = Stratum {
                data_centre: data_centre.into(),
                latencies: Histogram::default(),
                failures: Block::default(),
                slowness: Block::default(),
            };
            self.strata.insert(index, stratum);
            index
        });
        &mut self.strata[index]
    }
}

impl HitTest {
    /// Standard deviations by which the old version's rate is raised for the comparison with its past.
    const PAST_DEVIATIONS: f64 = 3.3;

    fn new(margin: f64, horizon: u32) -> Self {
        Self {
            detector: Detector::new(horizon),
            health: Health::new(margin),
            old: Trials::default(),
            new: Trials::default(),
        }
    }

    fn begin_step(&mut self, margin: f64) {
        self.health = Health::new(margin);
        self.new = Trials::default();
    }

    /// Adds requests as evidence of health, given the old version's rate `baseline_rate`.
    fn update(&mut self, old: Trials, new: Trials, baseline_rate: f64) {
        self.old.merge(old);
        self.new.merge(new);
        self.health.update(baseline_rate, new);
    }

    /// Compares the requests of a block, if it is complete.
    fn compare(&mut self, block: Option<(Trials, Trials)>, null: f64) {
        if let Some((old, new)) = block {
            self.detector.update(self.log_ratios(old, new, null));
        }
    }

    /// Compares with the old version over the same time, or with its past if it has no requests in the
    /// block.
    fn log_ratios(&self, old: Trials, new: Trials, null: f64) -> LogRatios {
        if old.total > 0 || self.old.total == 0 {
            two_sample(old, new, null)
        } else {
            let past_rate = self.old.upper_rate(Self::PAST_DEVIATIONS);
            one_sample(past_rate, new, null)
        }
    }

    fn expected_requests(&self) -> f64 {
        self.health.expected_requests(self.old.rate())
    }

    /// Whether the test cannot run because the old version's latencies are unknown.
    fn lacks_reference(&self) -> bool {
        self.old.total == 0
    }

    fn is_healthy_or_unknown(&self) -> bool {
        self.lacks_reference() || self.health.is_sufficient()
    }
}

impl Stratum {
    /// Requests to the old version from which its latencies serve as a reference.
    const MIN_REQUESTS: u64 = 50;
    /// Requests to the old version above which earlier ones are given less weight.
    const DECAY_ABOVE: u64 = 4_000;
    /// Fraction of the old version's requests that are faster than the reference.
    const QUANTILE: f64 = 0.9;

    /// Slow requests in `pair`, measured by the earlier latencies of the old version.
    fn slow(&self, pair: &Pair, tolerance: Tolerance) -> Slowness {
        let Some(slow_limit) = self.slow_limit(tolerance) else {
            return Slowness::default();
        };
        let counts = |histogram: &Histogram| Trials {
            total: histogram.total(),
            hits: histogram.count_above(slow_limit),
        };
        Slowness {
            old: counts(&pair.old.histogram),
            new: counts(&pair.new.histogram),
            baseline_rate: counts(&self.latencies).upper_rate(Trial::DEVIATIONS),
        }
    }

    /// Bucket above which a request is slow; `None` before there are enough requests to the old version.
    fn slow_limit(&self, tolerance: Tolerance) -> Option<usize> {
        if self.latencies.total() < Self::MIN_REQUESTS {
            return None;
        }
        let bucket = self.latencies.quantile(Self::QUANTILE)?;
        let reference = Histogram::lower(bucket + 1);
        let slow = reference.mul_f64(tolerance.slowdown);
        Some(Histogram::bucket(slow.max(reference + tolerance.slack)))
    }

    fn update(&mut self, old: &Histogram) {
        self.latencies.merge(old);
        if self.latencies.total() > Self::DECAY_ABOVE {
            self.latencies.halve();
        }
    }
}

/// Counts of failed requests.
fn failures(counts: &Counts) -> Trials {
    Trials {
        total: counts.requests,
        hits: counts.failures,
    }
}
