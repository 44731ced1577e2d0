//! Status that a backend server reports with an answer.

use crate::Advertised;

/// Status that a backend server reports with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Rate limit over all callers together.
    pub rate: Advertised,
    /// Whether the backend server is leaving and must get no new requests.
    pub leaving: bool,
}
