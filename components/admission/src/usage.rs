//! What a backend server got under the rate that it has named.

use std::time;

/// What a backend server got under the rate that it has named.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Requests a second that it has named.
    pub rate: units::Rate,
    /// Requests that it got in the last [`crate::Pace::WINDOW`].
    pub arrived: usize,
    /// Time since it last named the rate.
    pub age: time::Duration,
}
