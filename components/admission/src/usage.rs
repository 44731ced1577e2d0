//! Arrivals at a backend server under its advertised rate.

use std::time;

/// Arrivals at a backend server under its advertised rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Advertised rate, in requests per second.
    pub rate: units::Rate,
    /// Requests sent to the backend server in the last [`crate::RateLimiter::WINDOW`].
    pub arrived: usize,
    /// Time since the rate was last advertised.
    pub age: time::Duration,
}
