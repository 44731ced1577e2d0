//! Time for which a member is suspected before it is declared dead.

use std::time;

/// Policy for the suspicion period, after which a suspect is declared dead.
///
/// The period grows with the logarithm of the number of members (Das et al., SWIM, 2002) and shrinks
/// with each further independent accuser (Dadgar et al., Lifeguard, 2018).
#[derive(Debug, Clone, Copy)]
pub struct Suspicion {
    /// Shortest period in a mesh of ten members.
    shortest: time::Duration,
}

impl Suspicion {
    /// Number of accusers after the first at which the period reaches its minimum.
    pub const CONFIRMATIONS: usize = 3;
    /// The longest period as a multiple of the shortest.
    const STRETCH_MAX: f64 = 3.0;

    /// Creates a policy from the probe period and the number of periods at ten members.
    #[must_use]
    pub fn new(probe_period: time::Duration, periods: u32) -> Self {
        Self {
            shortest: probe_period * periods,
        }
    }

    /// Returns the suspicion period in a mesh of `members` for a suspect with `accusers` accusers.
    ///
    /// `factor` is the multiplier from the health of this node.
    #[must_use]
    pub fn period(&self, members: usize, accusers: usize, factor: u32) -> time::Duration {
        let shortest = self.shortest.mul_f64(scale(members));
        let needed = Self::CONFIRMATIONS.min(members.saturating_sub(2));
        let confirmed = accusers.saturating_sub(1).min(needed);
        let stretch = if needed == 0 {
            1.0
        } else {
            let progress = log(confirmed + 1) / log(needed + 1);
            Self::STRETCH_MAX - (Self::STRETCH_MAX - 1.0) * progress
        };
        shortest.mul_f64(stretch) * factor
    }
}

/// Returns the factor by which periods grow with the number of members; 1 for up to ten.
fn scale(members: usize) -> f64 {
    (log(members.max(10)) / log(10)).max(1.0)
}

/// Returns the natural logarithm; member counts are far below the limit of exact integers in `f64`.
#[allow(clippy::cast_precision_loss)]
fn log(number: usize) -> f64 {
    (number as f64).ln()
}
