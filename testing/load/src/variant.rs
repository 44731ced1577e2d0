//! What an experiment compares: the mesh as it is, and its baseline.

use std::fmt;
use std::str;

use serde::Serialize;

use crate::fleet::Shape;

/// Ours, or the baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// The mesh as it is.
    Ours,
    /// The baseline of the experiment.
    Baseline,
}

/// Value of a setting.
#[derive(Debug, Clone, Copy)]
pub enum Value {
    /// Text.
    Text(&'static str),
    /// A truth value.
    Truth(bool),
}

/// Setting of the nodes that makes them the baseline of an experiment.
#[derive(Debug, Clone, Copy)]
pub struct Baseline {
    /// Section of the nodes' settings.
    pub section: &'static str,
    /// Key in it.
    pub key: &'static str,
    /// Its value.
    pub value: Value,
}

impl Variant {
    /// Changes `shape` so that it is this variant, whose baseline is made by `baseline`.
    pub fn set(self, shape: &mut Shape, baseline: Baseline) {
        if self == Self::Baseline {
            match baseline.value {
                Value::Text(text) => shape.set(baseline.section, baseline.key, text),
                Value::Truth(truth) => shape.set(baseline.section, baseline.key, truth),
            }
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
