//! Comparison of a rate of the new version with that of the others.

use super::cusum::Cusum;

/// Compares a rate of the new version with that of the others.
#[derive(Debug, Clone, Default)]
pub(super) struct Comparison {
    /// Against what any good version may do.
    pub(super) clear: Cusum,
    /// Against what a version may do that is like the others.
    pub(super) fine: Cusum,
}

impl Comparison {
    /// Factor of the rate of the other versions that a good version may have besides.
    const FACTOR: f64 = 1.5;
    /// Rate on top of it that a version like the others may have.
    const FINE_RATE: f64 = 0.02;
    /// Largest rate of a good version.
    const MAX_RATE: f64 = 0.9;

    /// Adds `requests` with `hits`, where the other versions have a rate of `base` and a good version
    /// may have one of `good` on top.
    pub(super) fn add(&mut self, requests: u64, hits: u64, base: f64, good: f64) {
        let base = base * Self::FACTOR;
        self.clear
            .add(requests, hits, (base + good).min(Self::MAX_RATE));
        let fine = base + Self::FINE_RATE;
        self.fine.add(requests, hits, fine.min(Self::MAX_RATE));
    }
}
