//! Why a node cannot start.

/// Why a node cannot start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen on {1} for {0}")]
    Listen(&'static str, units::Address),
    /// The services do not fit together.
    #[error("the services do not fit together")]
    Services,
    /// Metrics cannot be exported.
    #[error("metrics cannot be exported")]
    Metrics,
    /// The connection to the platform cannot be set up.
    #[error("the connection to the platform cannot be set up")]
    Platform,
    /// Signals cannot be received.
    #[error("signals cannot be received")]
    Signals,
}
