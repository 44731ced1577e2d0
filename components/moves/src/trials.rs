//! Binomial counts of requests.

/// Binomial counts: requests, and those among them with a property such as failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Trials {
    /// Number of requests.
    pub total: u64,
    /// Number of requests with the property; at most `total`.
    pub hits: u64,
}

impl Trials {
    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: Self) {
        self.total += other.total;
        self.hits += other.hits;
    }

    /// Rate of hits, shrunk towards one half by one pseudo-request, so that it is never 0 or 1.
    #[must_use]
    pub fn rate(self) -> f64 {
        (as_f64(self.hits) + 0.5) / (as_f64(self.total) + 1.0)
    }

    /// Upper end of the rate's confidence interval at `z` standard deviations (Wilson, "Probable
    /// Inference", 1927).
    #[must_use]
    pub fn upper_rate(self, z: f64) -> f64 {
        let total = as_f64(self.total).max(1.0);
        let rate = as_f64(self.hits) / total;
        let square = z * z / total;
        let spread = z * (rate * (1.0 - rate) / total + square / (4.0 * total)).sqrt();
        ((rate + square / 2.0 + spread) / (1.0 + square)).min(1.0)
    }
}

/// Converts a count to a floating-point number; counts stay far below 2^52.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
