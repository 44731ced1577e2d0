//! Retry budget.

/// Retry budget: each first attempt earns a part of a retry.
///
/// In the manner of Finagle's `RetryBudget`: the retries of a long outage stay a fixed part of the
/// requests, whatever their outcome. What a request earns falls with the square of its depth, so
/// that the parts of all levels of a deep call add up to less than twice that of the first level
/// (the sum of 1/n² is below 1.65).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    tokens: f64,
    ratio: f64,
    limit: f64,
}

impl Budget {
    /// A budget of `ratio` retries for each first attempt that saves up to `limit` retries.
    #[must_use]
    pub fn new(ratio: f64, limit: f64) -> Self {
        Self {
            tokens: limit.min(Self::INITIAL),
            ratio,
            limit,
        }
    }

    /// Retries that a new budget allows.
    const INITIAL: f64 = 10.0;

    /// Counts a first attempt of a request that is `depth` calls deep.
    pub fn earn(&mut self, depth: u32) {
        let level = f64::from(depth.saturating_add(1));
        let earned = self.ratio / (level * level);
        self.tokens = (self.tokens + earned).min(self.limit);
    }

    /// Takes one retry; `false` when none is left.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries left.
    #[must_use]
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
