//! Errors of the kernel.

/// Why a service could not be offered, found or reached.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Two services offer the same name.
    #[error("service `{0}` is offered twice")]
    Duplicate(&'static str),
    /// No service has this name.
    #[error("no service offers `{0}`")]
    Missing(&'static str),
    /// The service offers another kind of handle.
    #[error("service `{0}` offers another kind of handle")]
    Mismatch(&'static str),
    /// The service has stopped.
    #[error("the service has stopped")]
    Closed,
    /// The mailbox of the service is full.
    #[error("the mailbox of the service is full")]
    Full,
}
