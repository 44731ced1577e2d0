//! Native protocol dialect.

use std::time;

use admission::Signals;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use super::{Credential, Dialect, Envelope, Headers, Problem, Reason, RequestMetadata};

/// Native protocol dialect, with the headers of [`Headers`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Native;

impl Native {
    /// Longest request id accepted from a caller, in bytes.
    const ID_BYTES: usize = 160;
    /// Longest idempotency key, in bytes.
    const KEY_BYTES: usize = 256;
    /// Limit of the depth of nested calls.
    const DEPTH_LIMIT: u64 = 64;

    /// Returns the request id sent by the caller, if it is usable.
    fn request_id(headers: &http::HeaderMap) -> Option<CompactString> {
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
    fn read(&self, head: &http::request::Parts) -> Result<RequestMetadata, Reason> {
        let headers = &head.headers;
        let depth = Headers::number(headers, &Headers::DEPTH).unwrap_or_default();
        if depth >= Self::DEPTH_LIMIT {
            return Err(Reason::TooDeep);
        }
        Self::check_key(headers)?;
        let read_u32 = |name| {
            let number = Headers::number(headers, &name)?;
            u32::try_from(number).ok()
        };
        let timeout_ms = Headers::number(headers, &Headers::DEADLINE_MS);
        Ok(RequestMetadata {
            id: Self::request_id(headers),
            timeout: timeout_ms.map(time::Duration::from_millis),
            parent_depth: read_u32(Headers::DEPTH),
            attempt: read_u32(Headers::ATTEMPT),
            key: Headers::text(headers, &Headers::KEY),
            key_attempt: read_u32(Headers::KEY_ATTEMPT),
            ..RequestMetadata::default()
        })
    }

    /// Reads `authorization: Bearer KEY`.
    fn take_credential(&self, headers: &mut http::HeaderMap) -> Credential {
        headers.remove(Headers::WORKSPACE);
        Credential::take(headers, "Bearer")
    }

    /// Returns the caller's address, prefixed with the node if the address is local to it.
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

    fn fingerprint_caller<'e>(&self, _: &'e Envelope) -> &'e str {
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

    fn deadline_header(&self) -> http::HeaderName {
        Headers::DEADLINE_MS
    }

    /// The id must be that of this attempt: the backend server may forward a response to a call of
    /// its own, which must not be mistaken for a refusal of this request.
    fn is_unexecuted(&self, answer: &http::response::Parts, envelope: &Envelope) -> bool {
        use http::StatusCode;
        const SHED: [StatusCode; 3] = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::GATEWAY_TIMEOUT,
        ];
        let has_value =
            |name, text: &str| answer.headers.get(name).is_some_and(|value| value == text);
        SHED.contains(&answer.status)
            && has_value(Headers::OUTCOME, upstream::Outcome::NotRun.as_str())
            && has_value(Headers::REQUEST, &envelope.request)
    }

    /// The header with the outcome says that.
    fn promises_not_run(&self, _: http::StatusCode) -> bool {
        false
    }

    fn signals(&self, answer: &http::response::Parts) -> Signals {
        Headers::signals(&answer.headers, &Headers::RATE_LIMIT, &Headers::LEAVING)
    }

    /// An HTTP/2 stream carries only the response to its own request.
    fn is_match(&self, _: &http::HeaderMap, _: &http::response::Parts, _: bool) -> bool {
        true
    }

    fn complete_headers(&self, headers: &mut http::HeaderMap, request: &str) {
        headers.remove(Headers::LOAD);
        headers.remove(Headers::WORK);
        headers.remove(Headers::BACKEND_STATUS);
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
