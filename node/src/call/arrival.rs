//! A request as it arrives from a caller.

use std::rc;
use std::time;

use compact_str::{CompactString, ToCompactString};
use config::{Idempotency, Route};
use http::{Method, header};
use upstream::Payload;

use super::{Asked, Headers, Problem, Reason};

/// A request as it arrives from a caller, with the route that matches it.
pub(crate) struct Arrival {
    /// Its id.
    pub(crate) id: CompactString,
    pub(crate) method: Method,
    pub(crate) uri: http::Uri,
    /// Headers, without those of the connection and those that only nodes exchange.
    pub(crate) headers: http::HeaderMap,
    pub(crate) route: rc::Rc<Route>,
    /// Usual latency on the route.
    pub(crate) usual: rc::Rc<routing::Usual>,
    /// The service that runs it, one of the route's.
    pub(crate) service: CompactString,
    pub(crate) deadline: time::Instant,
    /// When an answer is wanted; the deadline where the route names no target.
    pub(crate) target: time::Instant,
    /// Calls above this one.
    pub(crate) depth: u32,
    /// Number of the attempt of the call above that this one belongs to.
    pub(crate) attempt: u32,
    /// How far a repeated run made the call that it is.
    pub(crate) called_again: units::Share,
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
    /// Reads the parts that need no route.
    ///
    /// # Errors
    /// [`Reason::Malformed`] or [`Reason::Method`].
    pub(crate) fn check(head: &http::request::Parts) -> Result<CompactString, Problem> {
        if head.method == Method::CONNECT {
            return Err(Problem::refused(Reason::Method));
        }
        if head.headers.get_all(header::HOST).iter().count() > 1 {
            return Err(Problem::refused(Reason::Malformed));
        }
        host(head).ok_or(Problem::refused(Reason::Malformed))
    }

    /// Takes over a checked request that `route` matches; `repeats` are those at the backend
    /// server beside this node.
    ///
    /// # Errors
    /// [`Reason::BodyTooLong`].
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        head: http::request::Parts,
        body: hyper::body::Incoming,
        id: CompactString,
        asked: Asked,
        (route, usual): (rc::Rc<Route>, rc::Rc<routing::Usual>),
        service: CompactString,
        caller: CompactString,
        keep: usize,
        repeats: &admission::Repeats,
    ) -> Result<Self, Problem> {
        let limit = route.max_body.0;
        let length = Headers::number(&head.headers, &header::CONTENT_LENGTH);
        if length.is_some_and(|length| length > limit) {
            return Err(Problem::refused(Reason::BodyTooLong));
        }
        let body = web::Body::arriving(body, head.version, Some(limit));
        let started = time::Instant::now();
        let patience = asked.patience.unwrap_or(time::Duration::MAX);
        let deadline = started + patience.min(route.timeout.0);
        let idempotent = is_idempotent(&head.method, route.idempotency);
        let key = asked.key.filter(|_| !idempotent);
        let above = asked.above;
        let attempt = asked.attempt.filter(|_| above.is_some());
        let called_again = match attempt {
            Some(attempt) if attempt > 1 => units::Share::WHOLE,
            None if asked.beside => repeats.share(started),
            Some(_) | None => units::Share::NONE,
        };
        let mut headers = head.headers;
        Headers::strip_hop(&mut headers);
        Headers::strip_internal(&mut headers);
        Ok(Self {
            id,
            method: head.method,
            uri: head.uri,
            headers,
            deadline,
            target: match route.target.0 {
                time::Duration::ZERO => deadline,
                target => deadline.min(started + target),
            },
            depth: above.map_or(0, |above| above.saturating_add(1)),
            attempt: attempt.unwrap_or(1).max(1),
            called_again,
            caller,
            idempotent,
            key,
            key_attempt: asked.key_attempt,
            payload: Payload::new(body, keep),
            route,
            usual,
            service,
        })
    }

    /// Method, URI and headers for one attempt.
    pub(crate) fn head(&self) -> http::request::Parts {
        let (mut parts, ()) = http::Request::new(()).into_parts();
        parts.method = self.method.clone();
        parts.uri = self.uri.clone();
        parts.headers = self.headers.clone();
        parts
    }

    /// Notes the bytes of the request and of its answer, as far as their headers tell them.
    pub(crate) fn weigh(&self, answer: &http::response::Parts) {
        let length = |headers| Headers::number(headers, &header::CONTENT_LENGTH);
        let bytes = length(&self.headers).unwrap_or_default();
        let answered = length(&answer.headers).unwrap_or_default();
        self.usual.weigh(bytes.saturating_add(answered));
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
