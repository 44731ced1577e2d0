//! What became of an announcement.

use std::time;

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Taken {
    /// Time until the next announcement is due.
    pub due: time::Duration,
    /// Whether other nodes had heard from an earlier start of this node that this start of the backend
    /// server leaves; it stays so, whatever it announces.
    pub departed: bool,
}
