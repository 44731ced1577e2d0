//! What is compared.

use std::fmt;
use std::str;

use serde::Serialize;

use crate::fleet::Shape;

/// Ours, or the baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// Distribution among the nodes.
    Ours,
    /// Each node watches the platform itself.
    Baseline,
}

impl Variant {
    /// Section of the nodes' settings, the key in it, and its value that makes them the baseline.
    const BASELINE: (&str, &str, &str) = ("distribution", "mode", "direct");

    /// Changes `shape` so that it is this variant.
    pub fn set(self, shape: &mut Shape) {
        if self == Self::Baseline {
            let (section, key, value) = Self::BASELINE;
            shape.set(section, key, value);
        }
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ours => "ours",
            Self::Baseline => "baseline",
        })
    }
}

impl str::FromStr for Variant {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "ours" => Ok(Self::Ours),
            "baseline" => Ok(Self::Baseline),
            _ => Err(units::Error::new(text, "`ours` or `baseline`")),
        }
    }
}
