//! What became of a change.

use crate::{Findings, Snapshot};

/// What became of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// It makes this snapshot.
    Accepted(Snapshot),
    /// The operation was accepted before, at this version.
    Repeated(units::Version),
}

/// Why a change cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The resulting configuration would be wrong.
    #[error("the change is invalid:\n{0}")]
    Invalid(Findings),
    /// A resource is not at the revision that the change expects.
    #[error("a resource has changed meanwhile:\n{0}")]
    Conflict(Findings),
}
