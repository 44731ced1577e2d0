//! Requests and those among them that show something.

/// Requests and those among them that show something, such as a failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Trials {
    /// All requests.
    pub total: u64,
    /// Those that show it; at most all.
    pub hits: u64,
}

impl Trials {
    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: Self) {
        self.total += other.total;
        self.hits += other.hits;
    }

    /// Rate of hits; pulled towards one half by one request, so that it is never 0 or 1.
    #[must_use]
    pub fn rate(self) -> f64 {
        (real(self.hits) + 0.5) / (real(self.total) + 1.0)
    }

    /// Upper end of the rate's confidence interval at `z` standard deviations (Wilson, "Probable
    /// Inference", 1927).
    #[must_use]
    pub fn upper_rate(self, z: f64) -> f64 {
        let total = real(self.total).max(1.0);
        let rate = real(self.hits) / total;
        let square = z * z / total;
        let spread = z * (rate * (1.0 - rate) / total + square / (4.0 * total)).sqrt();
        ((rate + square / 2.0 + spread) / (1.0 + square)).min(1.0)
    }
}

/// A count as a real number; counts stay far below 2^52.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn real(count: u64) -> f64 {
    count as f64
}
