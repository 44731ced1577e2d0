//! Errors of requests to other nodes.

use std::time;

/// Reason why a request to another node failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No reply arrived within the timeout.
    #[error("node did not reply in time")]
    Timeout,
    /// The node is busy; the value is the delay before a retry.
    #[error("node is busy; retry after {} ms", .0.as_millis())]
    Busy(time::Duration),
    /// The node rejected the request as malformed or for an unknown service, or its reply does not decode.
    #[error("request or reply is malformed")]
    Invalid,
    /// NNG or the network failed.
    #[error("transport error: {0}")]
    Transport(compact_str::CompactString),
}
