//! Which requests are idempotent.

use schema::config as wire;
use serde::{Deserialize, Serialize};

/// Which requests of a route may run more than once without harm.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// As RFC 9110, section 9.2.2, says of the method.
    #[default]
    ByMethod,
    /// Every request.
    Always,
    /// No request.
    Never,
}

impl From<wire::Idempotency> for Idempotency {
    fn from(value: wire::Idempotency) -> Self {
        match value {
            wire::Idempotency::ByMethod => Self::ByMethod,
            wire::Idempotency::Always => Self::Always,
            wire::Idempotency::Never => Self::Never,
        }
    }
}

impl From<Idempotency> for wire::Idempotency {
    fn from(value: Idempotency) -> Self {
        match value {
            Idempotency::ByMethod => Self::ByMethod,
            Idempotency::Always => Self::Always,
            Idempotency::Never => Self::Never,
        }
    }
}
