//! Events in a second.

use std::fmt;
use std::str;

use crate::Error;

/// Events in a second, written such as `300/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl str::FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || Error::new(text, "a rate a second, such as `300/s`");
        let number = text.strip_suffix("/s").ok_or_else(refused)?;
        let rate: f64 = number.trim().parse().map_err(|_| refused())?;
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(refused())
        }
    }
}

crate::record::textual!(
    Rate,
    "a rate a second, such as `300/s`",
    "^[0-9]+(\\.[0-9]+)? */s$"
);
