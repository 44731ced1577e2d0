//! Version of the configuration.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Version of the configuration: the number of accepted log entries.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
pub struct Version(pub u64);

impl Version {
    /// The version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl str::FromStr for Version {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse();
        number
            .map(Self)
            .map_err(|_| Error::new(text, "a version: a whole number"))
    }
}
