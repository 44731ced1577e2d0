//! Cumulative sums of log-likelihood ratios against several rates at once.

/// Cumulative sums of log-likelihood ratios with a floor of zero (E. S. Page, "Continuous Inspection
/// Schemes", 1954), one for each rate that a bad version may have.
///
/// A sum grows fastest if its rate is the real one, and falls if the real rate is well below.
#[derive(Debug, Clone, Default)]
pub(super) struct Cusum {
    sums: [f64; Self::EXCESSES.len()],
    /// The sum against the lowest rate without a floor.
    balance: f64,
}

impl Cusum {
    /// Rates of a bad version, above that of a good one.
    const EXCESSES: [f64; 4] = [0.08, 0.16, 0.3, 0.5];
    /// Largest rate of a bad version.
    const MAX_RATE: f64 = 0.95;

    /// Adds `requests`, of which `hits` failed or were slow, and of a good version a part of `good`.
    pub(super) fn add(&mut self, requests: u64, hits: u64, good: f64) {
        let misses = requests.saturating_sub(hits);
        // Counts stay far below 2^52.
        #[allow(clippy::cast_precision_loss)]
        let changes = Self::EXCESSES.map(|excess| {
            let bad = (good + excess).min(Self::MAX_RATE);
            hits as f64 * (bad / good).ln() + misses as f64 * ((1.0 - bad) / (1.0 - good)).ln()
        });
        for (sum, change) in self.sums.iter_mut().zip(changes) {
            *sum = (*sum + change).max(0.0);
        }
        self.balance += changes[0];
    }

    /// The sum against the lowest rate without a floor: evidence for a good version is negative.
    pub(super) fn balance(&self) -> f64 {
        self.balance
    }

    /// The largest sum.
    pub(super) fn highest(&self) -> f64 {
        self.sums.iter().copied().fold(0.0, f64::max)
    }
}
