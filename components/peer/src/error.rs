//! Errors of requests between nodes.

use std::time;

/// Why a request to another node has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No answer in time.
    #[error("the node did not answer in time")]
    Timeout,
    /// The node asks to come back later.
    #[error("the node is busy for {} ms", .0.as_millis())]
    Busy(time::Duration),
    /// The node does not understand the request, or its answer cannot be read.
    #[error("the request or its answer is malformed")]
    Invalid,
    /// The transport failed.
    #[error("the transport failed: {0}")]
    Transport(compact_str::CompactString),
}
