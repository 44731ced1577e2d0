//! Methods of detecting a bad version.

use serde::{Deserialize, Serialize};

/// Method by which a bad version is distinguished from random failures; all but the first exist for
/// comparison with it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Analysis {
    /// Sequential tests of the new version against the old one.
    #[default]
    Sequential,
    /// A fixed threshold for the failure rate.
    Threshold,
    /// No detection: steps follow the schedule alone.
    Schedule,
}
