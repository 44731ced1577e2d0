//! What became of a call, as its caller sees it.

use std::time;

use compact_str::CompactString;
use radishgap_backend::Headers;
use serde::Serialize;

use super::Call;

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer to this call, with success.
    Answered,
    /// An error of the backend server.
    Failed,
    /// A refusal of the mesh: it did not run.
    NotRun,
    /// An error of the mesh: it ran.
    Ran,
    /// An error of the mesh: whether it ran is unknown.
    Unknown,
    /// An error that names no outcome.
    Unnamed,
    /// The request never left the caller, since its connection was closing.
    Unsent,
    /// The connection failed or the answer broke off.
    Broken,
    /// No answer in time.
    TimedOut,
    /// An answer of success that is short, or belongs to another call.
    Wrong,
}

units::record! {
    /// What a caller saw of one call.
    #[derive(Serialize)]
    pub struct Seen {
        /// What became of it.
        pub outcome: Outcome,
        /// Status of the answer.
        pub status: Option<u16>,
        /// Service that ran it, as the answer says.
        pub service: CompactString,
        /// Version that ran it, as the answer says.
        pub version: CompactString,
        /// Process that ran it, as the answer says.
        pub instance: CompactString,
        /// Id that the mesh gave the request.
        pub request: CompactString,
        /// Time that the answer says to wait before the next attempt.
        pub retry_after: Option<units::Period>,
        /// Time from sending to the whole answer.
        #[serde(skip)]
        pub took: time::Duration,
    }
}

/// Finer form of `retry-after`.
const RETRY_AFTER: &str = "radishgap-retry-after-ms";

impl Seen {
    /// A call without a usable answer.
    #[must_use]
    pub fn without_answer(outcome: Outcome) -> Self {
        Self {
            outcome,
            status: None,
            service: CompactString::default(),
            version: CompactString::default(),
            instance: CompactString::default(),
            request: CompactString::default(),
            retry_after: None,
            took: time::Duration::ZERO,
        }
    }

    /// Reads the answer to `call`; `body` is none when it broke off.
    #[must_use]
    pub fn read(call: &Call, parts: &http::response::Parts, body: Option<&[u8]>) -> Self {
        let text = |name| -> CompactString { text(&parts.headers, name).into() };
        let wait = text(RETRY_AFTER).parse().ok();
        Self {
            outcome: judge(call, parts, body),
            status: Some(parts.status.as_u16()),
            service: text(Headers::SERVICE),
            version: text(Headers::VERSION),
            instance: text(Headers::INSTANCE),
            request: text(Headers::REQUEST),
            retry_after: wait.map(units::Period::from_millis),
            took: time::Duration::ZERO,
        }
    }
}

fn judge(call: &Call, parts: &http::response::Parts, body: Option<&[u8]>) -> Outcome {
    let Some(body) = body else {
        return Outcome::Broken;
    };
    if parts.status.is_success() {
        return if is_whole(call, &parts.headers, body) {
            Outcome::Answered
        } else {
            Outcome::Wrong
        };
    }
    match text(&parts.headers, Headers::OUTCOME) {
        "not-run" => Outcome::NotRun,
        "ran" if !parts.headers.contains_key(Headers::INSTANCE) => Outcome::Ran,
        "unknown" => Outcome::Unknown,
        _ if text(&parts.headers, Headers::CALL) == call.id => Outcome::Failed,
        _ => Outcome::Unnamed,
    }
}

/// Whether the answer is the whole one to this call.
fn is_whole(call: &Call, headers: &http::HeaderMap, body: &[u8]) -> bool {
    let expected = radishgap_backend::fill(&call.id, call.answer_bytes);
    text(headers, Headers::CALL) == call.id && expected == body
}

fn text<'a>(headers: &'a http::HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
