//! Sequential test for a bad version.

use crate::contrast::{LogRatios, ODDS_RATIOS};

/// Sequential test for a fault that may begin at any time.
///
/// The evidence is a mixture of likelihood-ratio processes over the alternatives and over the
/// period in which the fault begins (Robbins, "Statistical Methods Related to the Law of the
/// Iterated Logarithm", 1970; Johari et al., "Always Valid Inference", 2022). The weights of the
/// mixture add up to at most 1, so by Ville's inequality the evidence against a good version ever
/// exceeds `1/alpha` with a probability of at most `alpha`, however often it is checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Detector {
    /// Number of informative periods.
    periods: u32,
    /// Number of periods in which the fault may begin.
    horizon: u32,
    /// Logarithm of the evidence for each alternative.
    log_sums: LogRatios,
}

impl Detector {
    /// Largest logarithm that one period may add. A brief network failure makes requests fail
    /// together, while the likelihoods assume independence, so one period alone must not decide.
    pub const MAX_LOG_RATIO: f64 = 6.0;
    /// Weight of a fault that is present from the beginning.
    const INITIAL_WEIGHT: f64 = 0.5;

    /// Creates a test without evidence; `horizon` is the expected number of periods, of at least 2.
    #[must_use]
    pub fn new(horizon: u32) -> Self {
        Self {
            periods: 0,
            horizon: horizon.max(2),
            log_sums: [f64::NEG_INFINITY; ODDS_RATIOS.len()],
        }
    }

    /// Adds the evidence of one period; ignores a period without information.
    pub fn update(&mut self, period: LogRatios) {
        if period.iter().all(|log_ratio| *log_ratio == 0.0) {
            return;
        }
        self.periods = self.periods.saturating_add(1);
        let onset = self.onset_weight().ln();
        for (sum, log_ratio) in self.log_sums.iter_mut().zip(period) {
            *sum = add_logs(*sum, onset) + log_ratio.min(Self::MAX_LOG_RATIO);
        }
    }

    /// Logarithm of the evidence, averaged over the alternatives.
    #[must_use]
    pub fn log_evidence(&self) -> f64 {
        let sum = self
            .log_sums
            .iter()
            .copied()
            .fold(f64::NEG_INFINITY, add_logs);
        let count = u32::try_from(self.log_sums.len()).unwrap_or(u32::MAX);
        sum - f64::from(count).ln()
    }

    /// Weight of a fault that begins in the current period.
    fn onset_weight(&self) -> f64 {
        match self.periods {
            0 | 1 => Self::INITIAL_WEIGHT,
            later if later <= self.horizon => {
                (1.0 - Self::INITIAL_WEIGHT) / f64::from(self.horizon - 1)
            }
            _ => 0.0,
        }
    }
}

/// Logarithm of the sum of two numbers that are given by their logarithms.
fn add_logs(one: f64, other: f64) -> f64 {
    let (smaller, larger) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    if smaller == f64::NEG_INFINITY {
        return larger;
    }
    larger + (smaller - larger).exp().ln_1p()
}
