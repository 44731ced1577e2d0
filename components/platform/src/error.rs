//! Errors of the object API.

use std::time;

/// How a call to the platform ended without a result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object is not at the expected revision, or exists already; nothing was written.
    #[error("the object is at another revision")]
    Conflict,
    /// The history that a watch asked for is gone; list again.
    #[error("the history is gone")]
    Gone,
    /// The platform limits calls, or our own limit holds; nothing was written.
    #[error("the platform refuses calls for {} ms", .0.as_millis())]
    Throttled(time::Duration),
    /// Nothing was sent, or the platform refused without executing; nothing was written.
    #[error("the platform cannot be reached: {0}")]
    Unavailable(compact_str::CompactString),
    /// The call was sent and its answer is lost; a write may have taken effect.
    #[error("the answer of the platform is lost: {0}")]
    Unknown(compact_str::CompactString),
    /// The platform refuses the call for good, such as a value that is too large.
    #[error("the platform refuses the call: {0}")]
    Invalid(compact_str::CompactString),
}

impl Error {
    /// Whether the call certainly wrote nothing.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}
