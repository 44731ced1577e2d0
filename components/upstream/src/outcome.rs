//! Outcome of a request.

use std::fmt;
use std::str;

use serde::Serialize;

/// Outcome of a request at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No backend server has begun to run it, and none will.
    NotRun,
    /// A backend server may have run it, in part or whole, or may still run it.
    Unknown,
    /// A backend server ran it and answered.
    Ran,
}

impl Outcome {
    /// Text of the outcome in the header `radishgap-outcome`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl str::FromStr for Outcome {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = [Self::NotRun, Self::Unknown, Self::Ran];
        known
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or_else(|| units::Error::new(text, "`ran`, `not-run` or `unknown`"))
    }
}
