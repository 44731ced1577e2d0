//! What a backend server says of itself with an answer.

use crate::Named;

/// What a backend server says of itself with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// The rate that it takes from all callers together.
    pub rate: Named,
    /// It leaves, and is to get nothing new.
    pub leaving: bool,
}
