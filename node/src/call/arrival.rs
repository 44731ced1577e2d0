//! A request as it arrives from a caller.

use std::rc;
use std::time;

use compact_str::{CompactString, ToCompactString};
use config::{Idempotency, Route};
use http::{Method, header};
use upstream::Payload;

use super::{Headers, Problem, Reason};

/// A request as it arrives from a caller, with the route that matches it.
pub(crate) struct Arrival {
    /// Its id.
    pub(crate) id: CompactString,
    pub(crate) method: Method,
    pub(crate) uri: http::Uri,
    /// Headers, without those of the connection and those that only nodes exchange.
    pub(crate) headers: http::HeaderMap,
    pub(crate) route: rc::Rc<Route>,
    pub(crate) deadline: time::Instant,
    /// Calls above this one.
    pub(crate) depth: u32,
    /// Number of the attempt of the call above that this one belongs to.
    pub(crate) attempt: u32,
    /// Who sends it.
    pub(crate) caller: CompactString,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// Its idempotency key, when it needs one.
    pub(crate) key: Option<CompactString>,
    /// How often its caller has sent it, as the caller says.
    pub(crate) key_attempt: Option<u32>,
    pub(crate) payload: Payload,
}

impl Arrival {
    /// Longest id that is taken over from a caller, in bytes.
    const ID_BYTES: usize = 160;
    /// Longest idempotency key, in bytes.
    const KEY_BYTES: usize = 256;
    /// Deepest nesting of calls.
    const DEPTH_LIMIT: u64 = 64;

    /// Reads the parts that need no route.
    ///
    /// # Errors
    /// [`Reason::Malformed`], [`Reason::Method`] or [`Reason::TooDeep`].
    pub(crate) fn check(head: &http::request::Parts) -> Result<CompactString, Problem> {
        if head.method == Method::CONNECT {
            return Err(Problem::refused(Reason::Method));
        }
        let depth = Headers::number(&head.headers, &Headers::DEPTH).unwrap_or_default();
        if depth >= Self::DEPTH_LIMIT {
            return Err(Problem::refused(Reason::TooDeep));
        }
        let key = head.headers.get(Headers::KEY);
        let key_fits = key.is_none_or(|key| {
            key.to_str()
                .is_ok_and(|key| !key.is_empty() && key.len() <= Self::KEY_BYTES)
        });
        let once = |name| head.headers.get_all(name).iter().count() <= 1;
        if !key_fits || !once(header::HOST) || !once(Headers::KEY) {
            return Err(Problem::refused(Reason::Malformed));
        }
        host(head).ok_or(Problem::refused(Reason::Malformed))
    }

    /// Takes over a checked request that `route` matches.
    ///
    /// # Errors
    /// [`Reason::BodyTooLong`].
    pub(crate) fn new(
        head: http::request::Parts,
        body: hyper::body::Incoming,
        id: CompactString,
        route: rc::Rc<Route>,
        caller: CompactString,
        keep: usize,
    ) -> Result<Self, Problem> {
        let limit = route.max_body.0;
        let length = Headers::number(&head.headers, &header::CONTENT_LENGTH);
        if length.is_some_and(|length| length > limit) {
            return Err(Problem::refused(Reason::BodyTooLong));
        }
        let body = web::Body::arriving(body, head.version, Some(limit));
        let started = time::Instant::now();
        let asked = Headers::number(&head.headers, &Headers::DEADLINE_MS);
        let asked = asked.map_or(time::Duration::MAX, time::Duration::from_millis);
        let number = |name| {
            let number = Headers::number(&head.headers, &name)?;
            u32::try_from(number).ok()
        };
        let idempotent = is_idempotent(&head.method, route.idempotency);
        let key = Headers::text(&head.headers, &Headers::KEY).filter(|_| !idempotent);
        let above = number(Headers::DEPTH);
        let attempt = number(Headers::ATTEMPT).filter(|_| above.is_some());
        let key_attempt = number(Headers::KEY_ATTEMPT);
        let mut headers = head.headers;
        Headers::strip_hop(&mut headers);
        Headers::strip_internal(&mut headers);
        Ok(Self {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            deadline: started + asked.min(route.timeout.0),
            depth: above.map_or(0, |above| above.saturating_add(1)),
            attempt: attempt.unwrap_or(1).max(1),
            caller,
            idempotent,
            key,
            key_attempt,
            payload: Payload::new(body, keep),
            route,
        })
    }

    /// The id that the caller gave, if it is usable.
    pub(crate) fn given_id(head: &http::request::Parts) -> Option<CompactString> {
        let id = Headers::text(&head.headers, &Headers::REQUEST)?;
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let fits = !id.is_empty() && id.len() <= Self::ID_BYTES;
        (fits && id.bytes().all(allowed)).then_some(id)
    }

    /// Method, URI and headers for one attempt.
    pub(crate) fn head(&self) -> http::request::Parts {
        let (mut parts, ()) = http::Request::new(()).into_parts();
        parts.method = self.method.clone();
        parts.uri = self.uri.clone();
        parts.headers = self.headers.clone();
        parts
    }

    /// Time left until the deadline.
    pub(crate) fn left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }
}

/// The host that the request names, in lower case and without port.
fn host(head: &http::request::Parts) -> Option<CompactString> {
    let authority = match head.uri.authority() {
        Some(authority) => authority.clone(),
        None => {
            let host = head.headers.get(header::HOST)?;
            http::uri::Authority::try_from(host.as_bytes()).ok()?
        }
    };
    let host = authority.host().to_compact_string();
    Some(host.to_ascii_lowercase())
}

/// Whether a request may run more than once: RFC 9110, section 9.2.2, unless the route says so.
fn is_idempotent(method: &Method, setting: Idempotency) -> bool {
    match setting {
        Idempotency::Always => true,
        Idempotency::Never => false,
        Idempotency::ByMethod => matches!(
            *method,
            Method::GET
                | Method::HEAD
                | Method::OPTIONS
                | Method::TRACE
                | Method::PUT
                | Method::DELETE
        ),
    }
}
