//! What is compared.

use std::fmt;
use std::str;

use serde::Serialize;

use crate::fleet::Shape;

/// Ours, or one of the baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// Moves as they are.
    Ours,
    /// A bare threshold of the error rate.
    Threshold,
    /// A fixed schedule without analysis.
    Schedule,
}

impl Variant {
    /// Section of the nodes' settings, and the key in it.
    const SETTING: (&str, &str) = ("moves", "analysis");

    /// Changes `shape` so that it is this variant.
    pub fn set(self, shape: &mut Shape) {
        if self == Self::Ours {
            return;
        }
        let (section, key) = Self::SETTING;
        shape.set(section, key, self.to_string());
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ours => "ours",
            Self::Threshold => "threshold",
            Self::Schedule => "schedule",
        })
    }
}

impl str::FromStr for Variant {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "ours" => Ok(Self::Ours),
            "threshold" => Ok(Self::Threshold),
            "schedule" => Ok(Self::Schedule),
            _ => Err(units::Error::new(text, "`ours`, `threshold` or `schedule`")),
        }
    }
}
