//! Sequential test that says when evidence of health suffices.

use crate::Trials;
use crate::trials::real;

/// Evidence that a version's rate of hits is that of the old one, and not higher by an excess.
///
/// One boundary of Wald's sequential probability ratio test ("Sequential Analysis", 1947); the
/// other one, of badness, is the detector's.
#[derive(Debug, Clone, PartialEq)]
pub struct Health {
    /// Excess that is to be ruled out, from 0 to 1.
    excess: f64,
    log: f64,
    /// The test has ended at its first crossing of the bound.
    is_shown: bool,
}

impl Health {
    /// Probability of taking a version for healthy whose rate is higher by the excess.
    const BETA: f64 = 0.05;
    /// Rate of the old version at least, so that its first hit does not surprise.
    const LEAST_RATE: f64 = 0.000_5;
    /// Rate of the old version at most.
    const MOST_RATE: f64 = 0.4;

    /// No evidence yet that the rate is not higher by `excess`.
    #[must_use]
    pub fn new(excess: f64) -> Self {
        Self {
            excess,
            log: 0.0,
            is_shown: false,
        }
    }

    /// Takes requests to the new version, with the rate that the old one has.
    pub fn absorb(&mut self, old_rate: f64, new: Trials) {
        let (same, higher) = self.rates(old_rate);
        let hits = real(new.hits) * (same / higher).ln();
        let others = real(new.total - new.hits) * ((1.0 - same) / (1.0 - higher)).ln();
        self.log += hits + others;
        self.is_shown |= self.log >= -Self::BETA.ln();
    }

    /// Whether the evidence suffices.
    #[must_use]
    pub fn is_shown(&self) -> bool {
        self.is_shown
    }

    /// Requests that a version as good as the old one is expected to need.
    #[must_use]
    pub fn needed(&self, old_rate: f64) -> f64 {
        let (same, higher) = self.rates(old_rate);
        let drift =
            same * (same / higher).ln() + (1.0 - same) * ((1.0 - same) / (1.0 - higher)).ln();
        -Self::BETA.ln() / drift
    }

    /// The rate of a good version, and the one to be ruled out: higher by the excess, or double.
    fn rates(&self, old_rate: f64) -> (f64, f64) {
        let same = old_rate.clamp(Self::LEAST_RATE, Self::MOST_RATE);
        (same, same + self.excess.max(same).min(0.5))
    }
}
