//! Logs as JSON lines, and metrics by OpenTelemetry in Prometheus text.

mod logs;
mod metrics;

pub use logs::{Level, start_logs};
pub use metrics::{Error, Metrics};
