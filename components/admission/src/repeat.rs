//! What is known of a request with regard to repeats.

use units::Share;

/// What is known of a request with regard to repeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Repeat {
    /// Whether a backend server may have had it before.
    pub resent: bool,
    /// Part of the runs, among those that may have made this call, that were repeats.
    pub called_again: Share,
}
