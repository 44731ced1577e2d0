//! Figures of the request path.

use serde::Serialize;

/// Figures of an ingress since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Ingress {
    /// Requests from callers.
    pub requests: u64,
    /// Of these, such as came from the VM of the node.
    pub beside: u64,
    /// Attempts sent to owners.
    pub attempts: u64,
    /// Attempts after the first one of a request.
    pub retries: u64,
    /// Answers of backend servers.
    pub answered: u64,
    /// Answers of the system itself that say `not-run`.
    pub not_run: u64,
    /// Answers of the system itself that say `unknown`.
    pub unknown: u64,
    /// Answers that broke off on the way and were reset towards the caller.
    pub truncated: u64,
    /// Requests whose caller went away.
    pub cancelled: u64,
    /// Backend servers ejected.
    pub ejected: u64,
    /// Answers that belonged to another request; always zero.
    pub mismatched: u64,
    /// Requests that were sent again although they may have run and must not run twice; always zero.
    pub repeated: u64,
}

impl Ingress {
    /// Invariants that were violated.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.mismatched + self.repeated
    }
}

/// Figures of an owner since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Owner {
    /// Requests from ingresses, this node's own included.
    pub requests: u64,
    /// Requests sent to the backend server.
    pub sent: u64,
    /// Of these, such as a backend server may have had before.
    pub resent: u64,
    /// Repeats refused because the service had had as many as it bears.
    pub over_budget: u64,
    /// Of those sent, such as the backend server turned away unexecuted.
    pub shed: u64,
    /// Answers of the backend server.
    pub answered: u64,
    /// Answers that came whole.
    pub finished: u64,
    /// Answers that broke off.
    pub truncated: u64,
    /// Requests refused unexecuted.
    pub refused: u64,
    /// Requests that may have run and have no answer.
    pub unknown: u64,
    /// Requests in flight when the backend server crashed.
    pub crashed: u64,
    /// Resends that got the end of the first request with their key.
    pub joined: u64,
    /// Answers of the backend server that belonged to another request.
    pub mismatched: u64,
    /// Requests given up by the ingress.
    pub cancelled: u64,
    /// Rates that the backend server has named, each new one counted.
    pub rates_named: u64,
    /// Answers that name a rate that cannot be read.
    pub rates_unreadable: u64,
    /// Backend servers that have said in an answer that they leave.
    pub leaving_heard: u64,
}
