//! Sequential test that says when evidence of badness suffices.

use crate::contrast::{Logs, ODDS};

/// Sequential test for badness that may begin at any time.
///
/// The evidence is a mixture of likelihood-ratio processes over the alternatives and over the
/// period in which the badness begins (Robbins, "Statistical Methods Related to the Law of the
/// Iterated Logarithm", 1970; Johari et al., "Always Valid Inference", 2022). The weights of the
/// mixture add up to at most 1, so that by Ville's inequality a version that is not bad ever
/// exceeds evidence of `1/alpha` with a probability of at most `alpha`, however often it is looked
/// at.
#[derive(Debug, Clone, PartialEq)]
pub struct Detector {
    /// Periods that told something.
    periods: u32,
    /// Periods in which the badness may begin.
    horizon: u32,
    /// Logarithm of the evidence for each alternative.
    logs: Logs,
}

impl Detector {
    /// Most that one period may add, in natural logarithm. A hiccup of the network makes requests
    /// fail together, which the likelihoods do not know, so that one period alone decides nothing.
    pub const MOST: f64 = 6.0;
    /// Weight of a badness that is there from the beginning.
    const AT_ONCE: f64 = 0.5;

    /// No evidence yet; `horizon` is the expected number of periods, of at least 2.
    #[must_use]
    pub fn new(horizon: u32) -> Self {
        Self {
            periods: 0,
            horizon: horizon.max(2),
            logs: [f64::NEG_INFINITY; ODDS.len()],
        }
    }

    /// Takes what one period speaks for; one that tells nothing is left out.
    pub fn absorb(&mut self, period: Logs) {
        if period.iter().all(|log| *log == 0.0) {
            return;
        }
        self.periods = self.periods.saturating_add(1);
        let begin = self.begin_weight().ln();
        for (held, log) in self.logs.iter_mut().zip(period) {
            *held = add_logs(*held, begin) + log.min(Self::MOST);
        }
    }

    /// Logarithm of the evidence, averaged over the alternatives.
    #[must_use]
    pub fn log_evidence(&self) -> f64 {
        let sum = self.logs.iter().copied().fold(f64::NEG_INFINITY, add_logs);
        let count = u32::try_from(self.logs.len()).unwrap_or(u32::MAX);
        sum - f64::from(count).ln()
    }

    /// Weight of a badness that begins in the current period.
    fn begin_weight(&self) -> f64 {
        match self.periods {
            0 | 1 => Self::AT_ONCE,
            later if later <= self.horizon => (1.0 - Self::AT_ONCE) / f64::from(self.horizon - 1),
            _ => 0.0,
        }
    }
}

/// Logarithm of the sum of two numbers that are given by their logarithms.
fn add_logs(one: f64, other: f64) -> f64 {
    let (less, more) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    if less == f64::NEG_INFINITY {
        return more;
    }
    more + (less - more).exp().ln_1p()
}
