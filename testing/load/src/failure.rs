//! Why an experiment ended without a report.

use crate::{fleet, operator, report};

/// Why an experiment ended without a report.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The processes could not be handled.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A name that is not one.
    #[error(transparent)]
    Name(#[from] units::Error),
    /// The operator API failed.
    #[error(transparent)]
    Operator(#[from] operator::Error),
    /// The report cannot be written.
    #[error(transparent)]
    Report(#[from] report::Error),
    /// A promise was broken; the report says which.
    #[error("{0} violations; see the report")]
    Violations(u64),
}
