//! Part of a whole.

use std::fmt;
use std::str;

use crate::Error;

/// Part of a whole in steps of one in 10,000, written as a percentage such as `2.5%`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u32);

impl Share {
    /// The whole.
    pub const WHOLE: Self = Self(10_000);
    /// Nothing of it.
    pub const NONE: Self = Self(0);

    /// A share of `parts` in 10,000; `None` above the whole.
    #[must_use]
    pub const fn from_parts(parts: u32) -> Option<Self> {
        if parts <= Self::WHOLE.0 {
            Some(Self(parts))
        } else {
            None
        }
    }

    /// The share in parts per 10,000.
    #[must_use]
    pub const fn parts(self) -> u32 {
        self.0
    }

    /// What is missing to the whole.
    #[must_use]
    pub const fn rest(self) -> Self {
        Self(Self::WHOLE.0 - self.0)
    }

    /// The share as a fraction from 0 to 1.
    #[must_use]
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", f64::from(self.0) / 100.0)
    }
}

impl str::FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || Error::new(text, "a share from `0%` to `100%`, in steps of 0.01%");
        let number = text.strip_suffix('%').ok_or_else(refused)?;
        let percent: f64 = number.trim().parse().map_err(|_| refused())?;
        if !(0.0..=100.0).contains(&percent) {
            return Err(refused());
        }
        // Within 0 to 10,000 by the check above.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let parts = (percent * 100.0).round() as u32;
        Ok(Self(parts))
    }
}

crate::record::textual!(
    Share,
    "a share from `0%` to `100%`, in steps of 0.01%",
    "^(100(\\.0{1,2})?|[0-9]{1,2}(\\.[0-9]{1,2})?)%$"
);
