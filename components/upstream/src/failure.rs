//! A request without a whole answer.

use crate::{Cause, Outcome};

/// A request without a whole answer, and what became of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{cause} ({})", self.outcome())]
pub struct Failure {
    /// Why it has no answer.
    pub cause: Cause,
}

impl Failure {
    /// Outcome of the request.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.cause.outcome()
    }
}

impl From<Cause> for Failure {
    fn from(cause: Cause) -> Self {
        Self { cause }
    }
}
