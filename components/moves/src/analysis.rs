//! How badness is told from noise.

use serde::{Deserialize, Serialize};

/// How badness is told from noise; all but the first are there to be compared with it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Analysis {
    /// By sequential tests of the new version against the old one.
    #[default]
    Sequential,
    /// By a bare threshold of the rate of failures.
    Threshold,
    /// Not at all: the schedule alone takes the steps.
    Schedule,
}
