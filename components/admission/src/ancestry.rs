//! Retries among the ancestors of a call.

use std::fmt;
use std::str;

use units::Share;

/// How much of a call is owed to retries among the runs above it in its call chain, by how many calls
/// lie between: the first share is that of runs that are retries themselves, the next one that of runs
/// that such a run called.
///
/// Written as shares in parts per 10,000 with commas between them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ancestry {
    shares: [Share; Self::CALLS],
}

impl Ancestry {
    /// Calls between a retry and the farthest call that counts as its result. The number is bounded
    /// because requests of callers on the VM may be taken for calls: a service whose callers send to
    /// it again would count a retry without end.
    pub const CALLS: usize = 3;

    /// No retry among the ancestors.
    pub const NONE: Self = Self {
        shares: [Share::NONE; Self::CALLS],
    };

    /// Call of a run that is a retry.
    pub const RETRIED: Self = Self::of_retries(Share::WHOLE);

    /// Call of a run that is a retry with the probability `share`.
    #[must_use]
    pub const fn of_retries(share: Share) -> Self {
        let mut shares = [Share::NONE; Self::CALLS];
        shares[0] = share;
        Self { shares }
    }

    /// Share of the call that counts as a repeat.
    #[must_use]
    pub fn total(&self) -> Share {
        let parts = self.shares.iter().map(|share| share.parts()).sum();
        Share::from_parts(parts).unwrap_or(Share::WHOLE)
    }

    /// Ancestry of a call of a run with this ancestry that is no retry itself.
    #[must_use]
    pub fn next(&self) -> Self {
        Self {
            shares: Self::shift(self.shares, Share::NONE),
        }
    }

    /// Shares, or sums of them, one call further from the retries, with `first` as those of retries.
    pub(crate) fn shift<T>(mut shares: [T; Self::CALLS], first: T) -> [T; Self::CALLS] {
        shares.rotate_right(1);
        shares[0] = first;
        shares
    }

    /// Shares in parts per 10,000.
    pub(crate) fn parts(&self) -> [u64; Self::CALLS] {
        self.shares.map(|share| u64::from(share.parts()))
    }

    /// Mean of `count` ancestries, whose parts add up to `sums`.
    pub(crate) fn mean(sums: [u64; Self::CALLS], count: u64) -> Self {
        let mean = |sum: u64| {
            let parts = u32::try_from(sum / count.max(1)).ok();
            parts.and_then(Share::from_parts).unwrap_or(Share::WHOLE)
        };
        Self {
            shares: sums.map(mean),
        }
    }
}

impl fmt::Display for Ancestry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, share) in self.shares.iter().enumerate() {
            let separator = if place == 0 { "" } else { "," };
            write!(formatter, "{separator}{}", share.parts())?;
        }
        Ok(())
    }
}

impl str::FromStr for Ancestry {
    type Err = units::Error;

    /// Shares that are not there are none.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || units::Error::new(text, "shares in parts per 10,000");
        let mut ancestry = Self::NONE;
        let mut shares = ancestry.shares.iter_mut();
        for part in text.split(',') {
            let parts = part.trim().parse().ok().and_then(Share::from_parts);
            let share = shares.next().ok_or_else(refused)?;
            *share = parts.ok_or_else(refused)?;
        }
        Ok(ancestry)
    }
}
