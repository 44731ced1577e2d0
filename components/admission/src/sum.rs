//! Sums of arrivals at a backend server.

use units::Share;

/// Sums of arrivals at a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// First arrivals of requests.
    pub first: u64,
    /// Arrivals of requests that a backend server may have had before.
    pub resent: u64,
    /// Most owners that the service had.
    pub owners: u32,
    /// Calls of runs that were repeats, as far as that can be told, in parts per 10,000.
    pub(crate) called_again_parts: u64,
    /// First arrivals by the weight of their depth, in parts per 10,000.
    pub(crate) earned_parts: u64,
}

impl Sum {
    /// Arrivals beyond the first of each request, calls of repeated runs among them.
    #[must_use]
    pub fn repeats(&self) -> f64 {
        count(self.resent) + self.called_again()
    }

    /// Calls of runs that were repeats, as far as that can be told.
    #[must_use]
    pub fn called_again(&self) -> f64 {
        count(self.called_again_parts) / f64::from(Share::WHOLE.parts())
    }

    /// First arrivals, each by the weight of its depth.
    #[must_use]
    pub fn earned(&self) -> f64 {
        count(self.earned_parts) / f64::from(Share::WHOLE.parts())
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.first += other.first;
        self.resent += other.resent;
        self.owners = self.owners.max(other.owners);
        self.called_again_parts += other.called_again_parts;
        self.earned_parts += other.earned_parts;
    }
}

/// The number as a fraction's type.
pub(crate) fn count(number: u64) -> f64 {
    // Counts of one window are far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let count = number as f64;
    count
}
