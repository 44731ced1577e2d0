//! Detects bad versions by comparing their requests with those of the other versions.

use compact_str::{CompactString, format_compact};

use super::comparison::Comparison;
use super::cusum::Cusum;
use super::recent::Recent;
use super::{Observations, Route};

/// Judges a new version by the requests that all nodes have counted, route by route.
///
/// The tests are cumulative sums, which detect a fault that begins late as fast as one that is there
/// from the start. What a good version may do follows from the other versions in the same seconds.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    /// Sorted by route name.
    assessments: Vec<Assessment>,
}

/// What the requests of one route say.
#[derive(Debug, Clone, Default)]
struct Assessment {
    /// Counts at the last update.
    counted: Route,
    recent: Recent,
    failures: Comparison,
    /// Requests that fail or are slow.
    poor: Comparison,
}

impl Judge {
    /// Sum at which a version is bad: about one false alarm in a thousand requests of a good version.
    const THRESHOLD: f64 = 8.0;
    /// Sum of the fine comparison at which a version is bad if no more evidence can be awaited.
    const LATE_THRESHOLD: f64 = 4.0;
    /// Sum of the fine comparison at which a version is doubted.
    const DOUBT: f64 = 1.5;
    /// Sum of the evidence for a version without which it is doubted.
    const TRUST: f64 = 2.5;
    /// Evidence for a version, a request, without which it is bad if no more can be awaited.
    const LATE_TRUST: f64 = 0.02;
    /// Requests below which that evidence is too small to tell.
    const LATE_REQUESTS: u64 = 50;
    /// Rates of requests that fail, and that fail or are slow, which a good version may have on top: its
    /// backend servers may be slower than the others, and cold.
    const GOOD_FAILURE_RATE: f64 = 0.04;
    const GOOD_POOR_RATE: f64 = 0.12;

    /// Takes the total counts so far; returns the reason once the version is found to be bad.
    pub fn judge(&mut self, observations: &Observations) -> Option<CompactString> {
        for route in observations.routes() {
            self.assessment_mut(&route.name).update(route);
        }
        self.reason(|one| &one.clear, Self::THRESHOLD)
    }

    /// Decides by the counts so far, of which no more can be awaited; returns the reason if the version
    /// is found to be bad.
    #[must_use]
    pub fn decide(&self) -> Option<CompactString> {
        let is_worse = || {
            let reason = CompactString::const_new("requests are slow or fail more often");
            let requests = self.requests();
            // Counts stay far below 2^52.
            #[allow(clippy::cast_precision_loss)]
            let is_trusted = self.balance() <= -Self::LATE_TRUST * requests as f64;
            (requests >= Self::LATE_REQUESTS && !is_trusted).then_some(reason)
        };
        self.reason(|one| &one.fine, Self::LATE_THRESHOLD)
            .or_else(is_worse)
    }

    /// Whether the counts so far speak against the version, or too little for it.
    #[must_use]
    pub fn doubts(&self) -> bool {
        self.balance() > -Self::TRUST || self.reason(|one| &one.fine, Self::DOUBT).is_some()
    }

    /// Requests to the version on all routes.
    fn requests(&self) -> u64 {
        self.assessments
            .iter()
            .map(|one| one.counted.requests)
            .sum()
    }

    /// Evidence of all routes against the version; negative where it speaks for it.
    fn balance(&self) -> f64 {
        let balances = self.assessments.iter().map(|one| one.poor.fine.balance());
        balances.sum()
    }

    /// The first route whose sums that `sum` chooses reach `threshold`.
    fn reason(&self, sum: impl Fn(&Comparison) -> &Cusum, threshold: f64) -> Option<CompactString> {
        self.assessments.iter().find_map(|one| {
            let name = &one.counted.name;
            if sum(&one.failures).highest() >= threshold {
                Some(format_compact!("requests of {name} fail"))
            } else if sum(&one.poor).highest() >= threshold {
                Some(format_compact!("requests of {name} are slow or fail"))
            } else {
                None
            }
        })
    }

    fn assessment_mut(&mut self, name: &CompactString) -> &mut Assessment {
        let index = self
            .assessments
            .binary_search_by(|one| one.counted.name.cmp(name));
        let index = index.unwrap_or_else(|index| {
            let assessment = Assessment::default();
            self.assessments.insert(index, assessment);
            self.assessments[index].counted.name = name.clone();
            index
        });
        &mut self.assessments[index]
    }
}

impl Assessment {
    fn update(&mut self, route: &Route) {
        self.recent.update(&self.counted, route);
        let requests = route.requests.saturating_sub(self.counted.requests);
        let failures = route.failures.saturating_sub(self.counted.failures);
        let slow = route.slow.saturating_sub(self.counted.slow);
        let all = Recent::of(route);
        let base = all.failure_rate().max(self.recent.failure_rate());
        self.failures
            .add(requests, failures, base, Judge::GOOD_FAILURE_RATE);
        let base = all.poor_rate().max(self.recent.poor_rate());
        self.poor
            .add(requests, failures + slow, base, Judge::GOOD_POOR_RATE);
        self.counted = route.clone();
    }
}
