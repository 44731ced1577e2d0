//! State of a gate.

use serde::Serialize;

use super::Counts;
use crate::Announced;

/// State of a gate.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// The backend server, once one has announced itself.
    pub announced: Option<Announced>,
    /// Requests that may run at a time.
    pub limit: usize,
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Mean latency of late, in milliseconds.
    pub latency_ms: f64,
    /// Requests a second that the backend server takes, where it has named that.
    pub rate: Option<f64>,
    /// Figures.
    pub counts: Counts,
}
