//! Sums of arrivals at a backend server.

use units::Share;

use crate::Ancestry;

/// Sums of arrivals at a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// First arrivals of requests.
    pub first: u64,
    /// Arrivals of retries that a backend server may have received before.
    pub resent: u64,
    /// Maximum number of owners of the service.
    pub owners: u32,
    /// Estimated calls made by repeated runs, in parts per 10,000.
    pub(crate) called_again_parts: [u64; Ancestry::CALLS],
    /// First arrivals weighted by call depth, in parts per 10,000.
    pub(crate) weighted_first_parts: u64,
}

impl Sum {
    /// Arrivals beyond the first of each request, including calls made by repeated runs.
    #[must_use]
    pub fn repeats(&self) -> f64 {
        count(self.resent) + self.called_again()
    }

    /// Estimated number of calls made by repeated runs.
    #[must_use]
    pub fn called_again(&self) -> f64 {
        count(self.called_again_parts.iter().sum()) / f64::from(Share::WHOLE.parts())
    }

    /// Ancestry of the calls that the requests make.
    #[must_use]
    pub(crate) fn calls(&self) -> Ancestry {
        let retried = self.resent * u64::from(Share::WHOLE.parts());
        let parts = Ancestry::shift(self.called_again_parts, retried);
        Ancestry::mean(parts, self.first + self.resent)
    }

    /// First arrivals, each weighted by call depth.
    #[must_use]
    pub fn weighted_first(&self) -> f64 {
        count(self.weighted_first_parts) / f64::from(Share::WHOLE.parts())
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.first += other.first;
        self.resent += other.resent;
        self.owners = self.owners.max(other.owners);
        add_parts(&mut self.called_again_parts, other.called_again_parts);
        self.weighted_first_parts += other.weighted_first_parts;
    }
}

/// Adds the parts of one ancestry to sums.
pub(crate) fn add_parts(sums: &mut [u64; Ancestry::CALLS], parts: [u64; Ancestry::CALLS]) {
    for (sum, part) in sums.iter_mut().zip(parts) {
        *sum += part;
    }
}

/// Converts a count to a floating-point number.
pub(crate) fn count(number: u64) -> f64 {
    // Counts of one window are far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let count = number as f64;
    count
}
