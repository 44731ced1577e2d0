//! State of a gate for diagnostics.

use compact_str::CompactString;
use serde::Serialize;

use super::Counts;
use crate::Announced;

/// State of a gate for diagnostics.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// The backend server, once one has announced itself.
    pub announced: Option<Announced>,
    /// Concurrency limit.
    pub limit: usize,
    /// Running requests.
    pub running: usize,
    /// Queued requests.
    pub waiting: usize,
    /// Mean latency of the last window, in milliseconds.
    pub latency_ms: f64,
    /// Rate that the backend server advertises, in requests per second.
    pub rate: Option<f64>,
    /// Whether the backend server is limited because it warms up, or may do so.
    pub cold: bool,
    /// Whether the data centre is evacuated.
    pub evacuated: bool,
    /// Some of the workspaces that are over their share, by name.
    pub over_share: Vec<CompactString>,
    /// Mean of what the worst tenth of the workspaces was served, as a fraction of its share.
    pub worst_tenth: Option<f64>,
    /// Counters since the start.
    pub counts: Counts,
}
