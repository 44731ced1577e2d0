//! Judges a new version by what nodes saw.

use compact_str::{CompactString, format_compact};

use super::{Route, Sight};

/// Judges a new version by what nodes saw of it, route by route.
///
/// Cumulative sums of log-likelihood ratios that do not fall below zero (E. S. Page, "Continuous
/// Inspection Schemes", 1954), so that badness that begins late shows as fast as one from the start.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    /// Sums by route, sorted by name.
    sums: Vec<Sums>,
}

#[derive(Debug, Clone)]
struct Sums {
    /// What was seen when the sums were last brought up to date.
    seen: Route,
    failures: f64,
    slow: f64,
}

impl Judge {
    /// Sum at which a version is bad: one wrong alarm in some thousand requests of a good version.
    const LIMIT: f64 = 7.0;
    /// Part of the requests that fail in a bad version, at least.
    const BAD_FAILURES: f64 = 0.3;
    /// Part of the requests that may fail in a good version, beside what fails in the others.
    const GOOD_FAILURES: f64 = 0.04;
    /// Part of the requests that take far longer than usual in a bad version, at least.
    const BAD_SLOW: f64 = 0.5;
    /// Part of the requests that may take that long in a good version: its backend servers may be
    /// slower than the others, and cold.
    const GOOD_SLOW: f64 = 0.15;

    /// Takes what was seen in all; returns why the version is bad once it shows.
    pub fn judge(&mut self, sight: &Sight) -> Option<CompactString> {
        let mut bad = None;
        for route in sight.routes() {
            let sums = self.sums(route);
            sums.take(route);
            if sums.failures >= Self::LIMIT {
                bad = Some(format_compact!("requests of {} fail", route.name));
            } else if sums.slow >= Self::LIMIT {
                bad = Some(format_compact!("requests of {} are slow", route.name));
            }
        }
        bad
    }

    fn sums(&mut self, route: &Route) -> &mut Sums {
        let place = self
            .sums
            .binary_search_by(|one| one.seen.name.cmp(&route.name));
        let place = place.unwrap_or_else(|place| {
            let seen = Route {
                name: route.name.clone(),
                ..Route::default()
            };
            let sums = Sums {
                seen,
                failures: 0.0,
                slow: 0.0,
            };
            self.sums.insert(place, sums);
            place
        });
        &mut self.sums[place]
    }
}

impl Sums {
    fn take(&mut self, route: &Route) {
        let requests = route.requests.saturating_sub(self.seen.requests);
        let failures = route.failures.saturating_sub(self.seen.failures);
        let slow = route.slow.saturating_sub(self.seen.slow);
        // Small counts.
        #[allow(clippy::cast_precision_loss)]
        let base = route.base_failures as f64 / (route.base_requests.max(1)) as f64;
        let good = (base * 1.5 + Judge::GOOD_FAILURES).min(0.7);
        let bad = Judge::BAD_FAILURES.max(good + 0.2);
        self.failures = step(self.failures, requests, failures, good, bad);
        self.slow = step(self.slow, requests, slow, Judge::GOOD_SLOW, Judge::BAD_SLOW);
        self.seen = route.clone();
    }
}

/// The sum after `requests`, of which `hits` speak against the version.
fn step(sum: f64, requests: u64, hits: u64, good: f64, bad: f64) -> f64 {
    let misses = requests.saturating_sub(hits);
    // Small counts.
    #[allow(clippy::cast_precision_loss)]
    let change =
        hits as f64 * (bad / good).ln() + misses as f64 * ((1.0 - bad) / (1.0 - good)).ln();
    (sum + change).max(0.0)
}
