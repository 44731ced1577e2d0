//! Sequential test for a good version.

use crate::Trials;
use crate::trials::as_f64;

/// Non-inferiority test: evidence that a version's rate of hits is that of the old one, and not higher
/// by a margin.
///
/// The bound is one of the two of Wald's sequential probability ratio test ("Sequential Analysis", 1947);
/// the other, for a bad version, is that of [`crate::Detector`].
#[derive(Debug, Clone, PartialEq)]
pub struct Health {
    /// Increase of the rate that is to be ruled out, from 0 to 1.
    margin: f64,
    log_ratio: f64,
    /// Whether the evidence has crossed the bound, which ends the test.
    is_sufficient: bool,
}

impl Health {
    /// Probability of accepting a version whose rate is higher by the margin.
    const BETA: f64 = 0.05;
    /// Smallest rate assumed for the old version, so that a first hit does not weigh too much.
    const MIN_RATE: f64 = 0.000_5;
    /// Largest rate assumed for the old version.
    const MAX_RATE: f64 = 0.4;

    /// Creates a test without evidence that rules out a rate higher by `margin`.
    #[must_use]
    pub fn new(margin: f64) -> Self {
        Self {
            margin,
            log_ratio: 0.0,
            is_sufficient: false,
        }
    }

    /// Adds requests to the new version, given the rate of the old one.
    pub fn update(&mut self, old_rate: f64, new: Trials) {
        let (same, higher) = self.rates(old_rate);
        let hits = as_f64(new.hits) * (same / higher).ln();
        let misses = as_f64(new.total - new.hits) * ((1.0 - same) / (1.0 - higher)).ln();
        self.log_ratio += hits + misses;
        self.is_sufficient |= self.log_ratio >= -Self::BETA.ln();
    }

    /// Whether the evidence is sufficient.
    #[must_use]
    pub fn is_sufficient(&self) -> bool {
        self.is_sufficient
    }

    /// Expected number of requests until the evidence suffices for a version as good as the old one.
    #[must_use]
    pub fn expected_requests(&self, old_rate: f64) -> f64 {
        let (same, higher) = self.rates(old_rate);
        let drift =
            same * (same / higher).ln() + (1.0 - same) * ((1.0 - same) / (1.0 - higher)).ln();
        -Self::BETA.ln() / drift
    }

    /// The rate of a good version, and the rate to be ruled out: higher by the margin, or double.
    fn rates(&self, old_rate: f64) -> (f64, f64) {
        let same = old_rate.clamp(Self::MIN_RATE, Self::MAX_RATE);
        (same, same + self.margin.max(same).min(0.5))
    }
}
