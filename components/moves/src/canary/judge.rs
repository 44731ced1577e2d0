//! Detects bad versions with cumulative sum (CUSUM) tests.

use compact_str::{CompactString, format_compact};

use super::{Observations, Route};

/// Judges a new version by the requests that all nodes have counted, route by route.
///
/// The tests are cumulative sums of log-likelihood ratios with a floor of zero (E. S. Page,
/// "Continuous Inspection Schemes", 1954), which detect a fault that begins late as fast as one that
/// is there from the start.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    /// Sorted by route name.
    cusums: Vec<Cusum>,
}

#[derive(Debug, Clone)]
struct Cusum {
    /// Counts at the last update.
    counted: Route,
    failures: f64,
    slow: f64,
}

impl Judge {
    /// Sum at which a version is bad: about one false alarm in a thousand requests of a good version.
    const THRESHOLD: f64 = 7.0;
    /// Smallest failure rate of a bad version.
    const BAD_FAILURE_RATE: f64 = 0.3;
    /// Failure rate that a good version may have on top of that of the other versions.
    const GOOD_FAILURE_RATE: f64 = 0.04;
    /// Smallest rate of slow requests of a bad version.
    const BAD_SLOW_RATE: f64 = 0.5;
    /// Rate of slow requests that a good version may have: its backend servers may be slower than the
    /// others, and cold.
    const GOOD_SLOW_RATE: f64 = 0.15;

    /// Takes the total counts so far; returns the reason once the version is found to be bad.
    pub fn judge(&mut self, observations: &Observations) -> Option<CompactString> {
        let mut bad = None;
        for route in observations.routes() {
            let cusum = self.cusum_mut(route);
            cusum.update(route);
            if cusum.failures >= Self::THRESHOLD {
                bad = Some(format_compact!("requests of {} fail", route.name));
            } else if cusum.slow >= Self::THRESHOLD {
                bad = Some(format_compact!("requests of {} are slow", route.name));
            }
        }
        bad
    }

    fn cusum_mut(&mut self, route: &Route) -> &mut Cusum {
        let index = self
            .cusums
            .binary_search_by(|one| one.counted.name.cmp(&route.name));
        let index = index.unwrap_or_else(|index| {
            let counted = Route {
                name: route.name.clone(),
                ..Route::default()
            };
            let cusum = Cusum {
                counted,
                failures: 0.0,
                slow: 0.0,
            };
            self.cusums.insert(index, cusum);
            index
        });
        &mut self.cusums[index]
    }
}

impl Cusum {
    fn update(&mut self, route: &Route) {
        let requests = route.requests.saturating_sub(self.counted.requests);
        let failures = route.failures.saturating_sub(self.counted.failures);
        let slow = route.slow.saturating_sub(self.counted.slow);
        // Counts stay far below 2^52.
        #[allow(clippy::cast_precision_loss)]
        let base = route.base_failures as f64 / (route.base_requests.max(1)) as f64;
        let good = (base * 1.5 + Judge::GOOD_FAILURE_RATE).min(0.7);
        let bad = Judge::BAD_FAILURE_RATE.max(good + 0.2);
        self.failures = advance(self.failures, requests, failures, good, bad);
        self.slow = advance(
            self.slow,
            requests,
            slow,
            Judge::GOOD_SLOW_RATE,
            Judge::BAD_SLOW_RATE,
        );
        self.counted = route.clone();
    }
}

/// The sum after `requests`, of which `hits` failed or were slow.
fn advance(sum: f64, requests: u64, hits: u64, good: f64, bad: f64) -> f64 {
    let misses = requests.saturating_sub(hits);
    // Counts stay far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let change =
        hits as f64 * (bad / good).ln() + misses as f64 * ((1.0 - bad) / (1.0 - good)).ln();
    (sum + change).max(0.0)
}
