//! Eras of the store.

use std::fmt;
use std::str;

/// Number of times that the store has come back from a copy; zero for a store that names none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct Era(pub u16);

impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl str::FromStr for Era {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || units::Error::new(text, "a whole number up to 65,535");
        text.trim().parse().map(Self).map_err(|_| refused())
    }
}
