//! How long a member is suspected before it is declared dead.

use std::time;

/// How long a member is suspected before it is declared dead.
///
/// The period grows with the logarithm of the members (Das et al., SWIM, 2002) and shrinks with
/// each further node that accuses independently (Dadgar et al., Lifeguard, 2018).
#[derive(Debug, Clone, Copy)]
pub struct Suspicion {
    /// Shortest period at ten members.
    shortest: time::Duration,
}

impl Suspicion {
    /// Accusers beyond the first that bring the period down to its shortest.
    pub const CONFIRMATIONS: usize = 3;
    /// The longest period as a multiple of the shortest.
    const STRETCH: f64 = 3.0;

    /// A policy by the probe period and the number of periods at ten members.
    #[must_use]
    pub fn new(probe_period: time::Duration, periods: u32) -> Self {
        Self {
            shortest: probe_period * periods,
        }
    }

    /// The period for a member of `members` that `accusers` suspect, as a node judges it whose own
    /// health multiplies its periods by `factor`.
    #[must_use]
    pub fn period(&self, members: usize, accusers: usize, factor: u32) -> time::Duration {
        let shortest = self.shortest.mul_f64(scale(members));
        let needed = Self::CONFIRMATIONS.min(members.saturating_sub(2));
        let confirmed = accusers.saturating_sub(1).min(needed);
        let stretch = if needed == 0 {
            1.0
        } else {
            let progress = log(confirmed + 1) / log(needed + 1);
            Self::STRETCH - (Self::STRETCH - 1.0) * progress
        };
        shortest.mul_f64(stretch) * factor
    }
}

/// Growth with the logarithm of the members; one at ten and fewer.
fn scale(members: usize) -> f64 {
    (log(members.max(10)) / log(10)).max(1.0)
}

/// Member counts are far below the integers that `f64` cannot hold.
#[allow(clippy::cast_precision_loss)]
fn log(number: usize) -> f64 {
    (number as f64).ln()
}
