//! Logs as JSON lines, and metrics by OpenTelemetry in Prometheus text.

mod logs;
mod metrics;
mod panics;
mod quota;
mod quotas;
mod sink;

pub use logs::{Level, start_logs};
pub use metrics::{Error, Metrics};
pub use panics::Panics;
pub use quota::Quota;
pub use quotas::{Quotas, REQUESTS};
pub use sink::Sink;
