//! Status that a backend server reports with an answer.

use crate::Named;

/// Status that a backend server reports with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// Rate limit over all callers together.
    pub rate: Named,
    /// Whether the backend server is leaving and must get no new requests.
    pub leaving: bool,
}
