//! Why a request is refused before it runs.

/// Why a request is refused before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Reason {
    /// No backend server has announced itself here.
    #[error("no-backend-server")]
    NoBackend,
    /// The backend server here runs another service or version.
    #[error("other-backend-server")]
    Mismatch,
    /// The backend server is in its cold start.
    #[error("starting")]
    Starting,
    /// The backend server is leaving.
    #[error("draining")]
    Draining,
    /// The node is leaving.
    #[error("stopping")]
    Stopping,
    /// Too many requests wait.
    #[error("queue-full")]
    Full,
    /// It cannot finish by its deadline.
    #[error("too-late")]
    Late,
    /// It has waited as long as a request may wait.
    #[error("waited-too-long")]
    Waited,
    /// The backend server takes no more requests a second.
    #[error("rate-limited")]
    Limited,
    /// It would be a repeat, and the service has had as many as it bears.
    #[error("retry-budget-spent")]
    BudgetSpent,
    /// It was in flight in two crashes.
    #[error("quarantined")]
    Quarantined,
    /// The service has more than its share of the node's requests.
    #[error("service-over-share")]
    OverShare,
    /// No more idempotency keys can be remembered.
    #[error("keys-full")]
    KeysFull,
    /// The idempotency key belongs to another request.
    #[error("key-reused")]
    KeyReused,
    /// Another owner has told that it runs the request with this idempotency key.
    #[error("key-noted")]
    KeyNoted,
    /// The owner that has to be told of the idempotency key cannot be reached.
    #[error("key-not-noted")]
    KeyNotNoted,
    /// No request with this idempotency key is on record here.
    #[error("key-not-found")]
    KeyNotFound,
}
