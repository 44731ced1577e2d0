//! How long a request waits on a connection that is silent.

/// How long a request waits on a connection that is silent.
///
/// A silent server may be at work all the same, behind a full link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Until the connection has been silent for some time: the request may be sent elsewhere.
    Silence,
    /// Until its answer comes: the request may run once only.
    Answer,
}
