//! Repeat information of a request.

use units::Share;

/// Repeat information of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Repeat {
    /// Whether the request is a retry that a backend server may have received before.
    pub resent: bool,
    /// Share of repeated runs among the runs that may have made this call.
    pub called_again: Share,
}
