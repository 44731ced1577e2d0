//! The dialect of the product's own interface.

use std::time;

use admission::Statement;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use super::{Asked, Dialect, Envelope, Headers, Problem, Reason};

/// The dialect of the product's own interface, with the headers of [`Headers`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Native;

impl Native {
    /// Longest id that is taken over from a caller, in bytes.
    const ID_BYTES: usize = 160;
    /// Longest idempotency key, in bytes.
    const KEY_BYTES: usize = 256;
    /// Deepest nesting of calls.
    const DEPTH_LIMIT: u64 = 64;

    /// The id that the caller gave, if it is usable.
    fn given_id(headers: &http::HeaderMap) -> Option<CompactString> {
        let id = Headers::text(headers, &Headers::REQUEST)?;
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let fits = !id.is_empty() && id.len() <= Self::ID_BYTES;
        (fits && id.bytes().all(allowed)).then_some(id)
    }

    fn check_key(headers: &http::HeaderMap) -> Result<(), Reason> {
        let fits = headers.get(Headers::KEY).is_none_or(|key| {
            key.to_str()
                .is_ok_and(|key| !key.is_empty() && key.len() <= Self::KEY_BYTES)
        });
        let once = headers.get_all(Headers::KEY).iter().count() <= 1;
        if fits && once {
            Ok(())
        } else {
            Err(Reason::Malformed)
        }
    }
}

impl Dialect for Native {
    fn read(&self, head: &http::request::Parts) -> Result<Asked, Reason> {
        let headers = &head.headers;
        let depth = Headers::number(headers, &Headers::DEPTH).unwrap_or_default();
        if depth >= Self::DEPTH_LIMIT {
            return Err(Reason::TooDeep);
        }
        Self::check_key(headers)?;
        let small = |name| {
            let number = Headers::number(headers, &name)?;
            u32::try_from(number).ok()
        };
        let patience = Headers::number(headers, &Headers::DEADLINE_MS);
        Ok(Asked {
            id: Self::given_id(headers),
            patience: patience.map(time::Duration::from_millis),
            above: small(Headers::DEPTH),
            attempt: small(Headers::ATTEMPT),
            key: Headers::text(headers, &Headers::KEY),
            key_attempt: small(Headers::KEY_ATTEMPT),
            ..Asked::default()
        })
    }

    /// The caller's address, with the node where that is local to the node.
    fn caller(&self, node: &units::Node, head: &http::request::Parts) -> CompactString {
        let peer = head.extensions.get::<web::Peer>();
        let Some(ip) = peer.map(|peer| peer.address.0.ip()) else {
            return CompactString::default();
        };
        if ip.is_loopback() {
            format_compact!("{node}/{ip}")
        } else {
            format_compact!("{ip}")
        }
    }

    fn suspect<'e>(&self, _: &'e Envelope) -> &'e str {
        ""
    }

    fn write(
        &self,
        envelope: &Envelope,
        _: &str,
        headers: &mut http::HeaderMap,
        now: time::Instant,
    ) {
        envelope.write_public(headers, now);
    }

    /// The id is that of this attempt only, so that an answer to a call that the backend server has
    /// made itself, and passes on, cannot be taken for its own refusal.
    fn is_unexecuted(&self, answer: &http::response::Parts, envelope: &Envelope) -> bool {
        use http::StatusCode;
        const SHED: [StatusCode; 3] = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::GATEWAY_TIMEOUT,
        ];
        let says = |name, text: &str| answer.headers.get(name).is_some_and(|value| value == text);
        SHED.contains(&answer.status)
            && says(Headers::OUTCOME, upstream::Outcome::NotRun.as_str())
            && says(Headers::REQUEST, &envelope.request)
    }

    fn statement(&self, answer: &http::response::Parts) -> Statement {
        Headers::statement(&answer.headers, &Headers::RATE_LIMIT, &Headers::LEAVING)
    }

    /// A stream of HTTP/2 carries the answer to its own request only.
    fn is_match(&self, _: &http::HeaderMap, _: &http::response::Parts) -> bool {
        true
    }

    fn finish(&self, headers: &mut http::HeaderMap, request: &str) {
        headers.remove(Headers::LOAD);
        headers.remove(Headers::NEED);
        headers.remove(Headers::CONFIGURATION);
        Headers::set(headers, Headers::REQUEST, request);
    }

    fn answer(
        &self,
        problem: &Problem,
        request: &str,
    ) -> (http::StatusCode, http::HeaderMap, Bytes) {
        problem.answer(request)
    }
}
