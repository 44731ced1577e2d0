//! Requests received from callers.

use std::rc;
use std::time;

use admission::Ancestry;
use compact_str::{CompactString, ToCompactString};
use config::{Idempotency, Route};
use http::{Method, header};
use upstream::Payload;

use super::{Credential, Headers, Problem, Reason, RequestMetadata};

/// A request received from a caller, with the route that matches it.
pub(crate) struct Arrival {
    /// Request id.
    pub(crate) id: CompactString,
    pub(crate) method: Method,
    pub(crate) uri: http::Uri,
    /// Headers, without hop-by-hop headers and headers reserved for nodes.
    pub(crate) headers: http::HeaderMap,
    pub(crate) route: rc::Rc<Route>,
    /// Usual latency and size of requests on the route.
    pub(crate) baseline: rc::Rc<routing::Baseline>,
    /// Service that runs the request, chosen from those of the route.
    pub(crate) service: CompactString,
    pub(crate) deadline: time::Instant,
    /// Time by which a response is wanted, counted from the caller's first attempt; the deadline if the
    /// route sets no target.
    pub(crate) target: time::Instant,
    /// Number of calls above this one in the call chain.
    pub(crate) depth: u32,
    /// Attempt number of the parent call that this request belongs to.
    pub(crate) attempt: u32,
    /// Degree to which repeated runs caused this call.
    pub(crate) called_again: Ancestry,
    /// Caller that sends the request.
    pub(crate) caller: CompactString,
    /// Workspace that the caller's key belongs to; empty without one.
    pub(crate) workspace: CompactString,
    /// Rank of that workspace among workspaces; zero is the most urgent.
    pub(crate) workspace_priority: u32,
    /// Key by which the caller is known.
    pub(crate) credential: Credential,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Idempotency key, if the request needs one.
    pub(crate) key: Option<CompactString>,
    /// Number of times the caller has sent the request, as reported by the caller.
    pub(crate) key_attempt: Option<u32>,
    pub(crate) payload: Payload,
}

impl Arrival {
    /// Validates the parts of the head that need no route, and returns the host.
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

    /// Builds the request from a validated head that matches `route`; `repeats` counts the repeated
    /// runs at the local backend server.
    ///
    /// # Errors
    /// [`Reason::BodyTooLong`].
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        head: http::request::Parts,
        body: hyper::body::Incoming,
        id: CompactString,
        metadata: RequestMetadata,
        (route, baseline): (rc::Rc<Route>, rc::Rc<routing::Baseline>),
        service: CompactString,
        caller: CompactString,
        replay_limit: usize,
        repeats: &admission::Repeats,
    ) -> Result<Self, Problem> {
        let limit = route.max_body.0;
        let length = Headers::number(&head.headers, &header::CONTENT_LENGTH);
        if length.is_some_and(|length| length > limit) {
            return Err(Problem::refused(Reason::BodyTooLong));
        }
        let body = web::Body::arriving(body, head.version, Some(limit));
        let started = time::Instant::now();
        let timeout = metadata.timeout.unwrap_or(time::Duration::MAX);
        let deadline = started + timeout.min(route.timeout.0);
        let idempotent = is_idempotent(&head.method, route.idempotency);
        let key = metadata.key.filter(|_| !idempotent);
        let parent_depth = metadata.parent_depth;
        let attempt = metadata.attempt.filter(|_| parent_depth.is_some());
        let called_again = match attempt {
            Some(attempt) if attempt > 1 => Ancestry::RETRIED,
            None if metadata.local => repeats.calls(started),
            Some(_) | None => Ancestry::NONE,
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
            depth: parent_depth.map_or(0, |parent_depth| parent_depth.saturating_add(1)),
            attempt: attempt.unwrap_or(1).max(1),
            called_again,
            caller,
            workspace: CompactString::default(),
            workspace_priority: 0,
            credential: Credential::default(),
            idempotent,
            key,
            key_attempt: metadata.key_attempt,
            payload: Payload::new(body, replay_limit),
            route,
            baseline,
            service,
        })
    }

    /// Returns the rank of the request at an owner: that of its workspace first, then that of its
    /// route.
    pub(crate) fn priority(&self) -> u32 {
        /// Ranks of routes within one rank of workspaces.
        const ROUTE_RANKS: u32 = 1 << 16;
        let route = self.route.priority.min(ROUTE_RANKS - 1);
        let workspace = self.workspace_priority.saturating_mul(ROUTE_RANKS);
        workspace.saturating_add(route)
    }

    /// Builds the method, URI and headers for one attempt.
    pub(crate) fn head(&self) -> http::request::Parts {
        let (mut parts, ()) = http::Request::new(()).into_parts();
        parts.method = self.method.clone();
        parts.uri = self.uri.clone();
        parts.headers = self.headers.clone();
        parts
    }

    /// Records the size of the request and its response, as far as their `content-length` headers
    /// give it.
    pub(crate) fn record_size(&self, answer: &http::response::Parts) {
        let length = |headers| Headers::number(headers, &header::CONTENT_LENGTH);
        let bytes = length(&self.headers).unwrap_or_default();
        let response_bytes = length(&answer.headers).unwrap_or_default();
        self.baseline
            .observe_bytes(bytes.saturating_add(response_bytes));
    }

    /// Brings the target forward by the time that the caller has spent on earlier attempts.
    pub(crate) fn subtract_time_spent(&mut self, spent: time::Duration) {
        if !self.route.target.0.is_zero() {
            let target = self.target.checked_sub(spent);
            self.target = target.unwrap_or_else(time::Instant::now);
        }
    }

    /// Returns the time within which a response to a first attempt is wanted.
    pub(crate) fn usual_time_to_target(&self) -> time::Duration {
        match self.route.target.0 {
            time::Duration::ZERO => self.time_left(),
            target => target,
        }
    }

    pub(crate) fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }
}

/// Returns the requested host, in lower case and without the port.
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

/// Returns whether a request may run more than once, as RFC 9110, section 9.2.2 defines it unless
/// the route overrides it.
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
