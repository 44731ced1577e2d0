//! Names of headers.

/// Names of headers that the stand-in reads or writes.
pub struct Headers;

impl Headers {
    /// Id of the request in the mesh.
    pub const REQUEST: &'static str = "radishgap-request";
    /// Whether a request ran: `ran`, `not-run` or `unknown`.
    pub const OUTCOME: &'static str = "radishgap-outcome";
    /// Time that is left for the request, in milliseconds.
    pub const DEADLINE: &'static str = "radishgap-deadline-ms";
    /// Number of the attempt.
    pub const ATTEMPT: &'static str = "radishgap-attempt";
    /// Key by which a resend of a request is known.
    pub const KEY: &'static str = "idempotency-key";
    /// The caller's own id of the call, echoed in the answer.
    pub const CALL: &'static str = "x-call";
    /// Bytes that the answer's body shall have.
    pub const ANSWER_BYTES: &'static str = "x-answer-bytes";
    /// Digest of the answer's body in hexadecimal.
    pub const DIGEST: &'static str = "x-digest";
    /// `1` crashes the process.
    pub const CRASH: &'static str = "x-crash";
    /// Requests a second that the process takes.
    pub const RATE_LIMIT: &'static str = "radishgap-rate-limit";
    /// `1` where the process leaves.
    pub const LEAVING: &'static str = "radishgap-leaving";
    /// Service that ran the request.
    pub const SERVICE: &'static str = "x-service";
    /// Version that ran the request.
    pub const VERSION: &'static str = "x-version";
    /// Instance that ran the request.
    pub const INSTANCE: &'static str = "x-instance";
}

/// Text of a header, if it is there and is text.
pub(crate) fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Number in a header, if it is there and is one.
pub(crate) fn number(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    text(headers, name).and_then(|text| text.parse().ok())
}
