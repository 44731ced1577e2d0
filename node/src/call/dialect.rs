//! How callers and backend servers speak of a request.

use std::time;

use admission::Statement;
use bytes::Bytes;
use compact_str::CompactString;

use super::{Envelope, Problem, Reason};

/// How callers and backend servers speak of a request: the names of headers and the form of the
/// system's own answers. Nodes among themselves always speak as [`super::Headers`] says.
pub trait Dialect: Clone + 'static {
    /// Reads what a caller says of its request.
    ///
    /// # Errors
    /// [`Reason::Malformed`] or [`Reason::TooDeep`].
    fn read(&self, head: &http::request::Parts) -> Result<Asked, Reason>;

    /// Who sends a request that came to `node`; callers share backend servers evenly.
    fn caller(&self, node: &units::Node, head: &http::request::Parts) -> CompactString;

    /// The caller by which a request that crashes backend servers is told from others; empty where it is
    /// the same whoever sends it.
    fn suspect<'e>(&self, envelope: &'e Envelope) -> &'e str;

    /// Writes what the backend server learns of a request. `instance` is the id that it gave
    /// itself, empty where it gave none.
    fn write(
        &self,
        envelope: &Envelope,
        instance: &str,
        headers: &mut http::HeaderMap,
        now: time::Instant,
    );

    /// Whether the backend server says that it has not run the request.
    fn is_unexecuted(&self, answer: &http::response::Parts, envelope: &Envelope) -> bool;

    /// What the backend server says of itself with an answer.
    fn statement(&self, answer: &http::response::Parts) -> Statement;

    /// Whether an answer of the backend server can belong to the request with these `headers`.
    fn is_match(&self, headers: &http::HeaderMap, answer: &http::response::Parts) -> bool;

    /// Completes the headers of a backend server's answer for the caller.
    fn finish(&self, headers: &mut http::HeaderMap, request: &str);

    /// The system's own answer to a request.
    fn answer(
        &self,
        problem: &Problem,
        request: &str,
    ) -> (http::StatusCode, http::HeaderMap, Bytes);
}

units::record! { eq:
    /// What a caller says of its request.
    #[derive(Default)]
    pub struct Asked {
        /// Its id, if it gives a usable one.
        pub id: Option<CompactString>,
        /// How long it waits.
        pub patience: Option<time::Duration>,
        /// Whether it comes from the VM of this node, as the calls of its backend server do.
        pub beside: bool,
        /// Calls above this one, if it is part of a call.
        pub above: Option<u32>,
        /// Number of the attempt of the call above that this one belongs to.
        pub attempt: Option<u32>,
        /// Its idempotency key.
        pub key: Option<CompactString>,
        /// How often the request has been sent with this key.
        pub key_attempt: Option<u32>,
    }
}
