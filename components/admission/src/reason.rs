//! Reasons to refuse a request before it runs.

/// Reason to refuse a request before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Reason {
    /// No backend server has announced itself to this node.
    #[error("no-backend-server")]
    NoBackend,
    /// The backend server beside this node runs another service or version.
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
    /// The queue is full.
    #[error("queue-full")]
    Full,
    /// The request cannot finish by its deadline.
    #[error("too-late")]
    Late,
    /// The request has waited for the maximum time.
    #[error("waited-too-long")]
    Waited,
    /// The rate limit of the backend server leaves no turn in time.
    #[error("rate-limited")]
    Limited,
    /// The request is a retry, and the retry budget of the service is exhausted.
    #[error("retry-budget-spent")]
    BudgetSpent,
    /// The request was in flight in two crashes.
    #[error("quarantined")]
    Quarantined,
    /// The service has used its share of the requests in flight at the ingress.
    #[error("service-over-share")]
    OverShare,
    /// The store of idempotency keys is full.
    #[error("keys-full")]
    KeysFull,
    /// The idempotency key belongs to another request.
    #[error("key-reused")]
    KeyReused,
    /// Another owner has reported that it runs the request with this idempotency key.
    #[error("key-noted")]
    KeyNoted,
    /// The owner that has to record the idempotency key cannot be reached.
    #[error("key-not-noted")]
    KeyNotNoted,
    /// The data centre of the backend server is evacuated.
    #[error("evacuated")]
    Evacuated,
    /// The workspace has used its share of the backend server.
    #[error("workspace-over-share")]
    WorkspaceOverShare,
    /// This owner has no record of the idempotency key.
    #[error("key-not-found")]
    KeyNotFound,
}
