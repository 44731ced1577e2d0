//! The object API over HTTP.

use std::time;

use base64::Engine;
use base64::engine::general_purpose;
use bytes::Bytes;
use http::StatusCode;
use http::header;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::Rng;
use serde::Serialize;

use crate::body::Body;
use crate::objects::{Condition, Event, Object, Refusal};
use crate::shared::Shared;

type Answer = http::Response<Body>;

/// Answers calls of the object API.
#[derive(Clone)]
pub(crate) struct Api {
    shared: Shared,
}

#[derive(Serialize)]
struct WireObject {
    key: String,
    revision: u64,
    value: String,
}

#[derive(Serialize)]
struct WireListing {
    revision: u64,
    objects: Vec<WireObject>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum WireEvent {
    Put(WireObject),
    Removed { key: String, revision: u64 },
}

#[derive(Serialize)]
struct WireEvents {
    revision: u64,
    events: Vec<WireEvent>,
}

impl From<Object> for WireObject {
    fn from(object: Object) -> Self {
        Self {
            value: general_purpose::STANDARD.encode(&object.value),
            key: object.key,
            revision: object.revision,
        }
    }
}

impl From<Event> for WireEvent {
    fn from(event: Event) -> Self {
        match event {
            Event::Put(object) => Self::Put(object.into()),
            Event::Removed { key, revision } => Self::Removed { key, revision },
        }
    }
}

impl web::Handler for Api {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> Answer {
        let mut answer = self.route(request).await;
        let era = self.shared.objects.borrow().era();
        answer.headers_mut().insert(Self::ERA, era.into());
        answer
    }
}

impl Api {
    const OBJECTS: &str = "/v1/objects";
    const WATCH: &str = "/v1/watch";
    /// Header of all answers that names the era.
    const ERA: header::HeaderName = header::HeaderName::from_static("store-era");

    pub(crate) fn new(shared: Shared) -> Self {
        Self { shared }
    }

    async fn route(&self, request: http::Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let key = path
            .strip_prefix(Self::OBJECTS)
            .and_then(|rest| rest.strip_prefix('/'));
        match (request.method().clone(), key) {
            (http::Method::GET, None) if path == Self::OBJECTS => self.list(&query).await,
            (http::Method::GET, None) if path == Self::WATCH => self.watch(&query).await,
            (http::Method::GET, Some(key)) => self.read(key).await,
            (http::Method::PUT, Some(key)) => self.put(key, request).await,
            (http::Method::DELETE, Some(key)) => self.remove(key, &request).await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn read(&self, key: &str) -> Answer {
        self.shared.count(|counts| counts.reads += 1);
        if let Some(refused) = self.admit_read().await {
            return refused;
        }
        let objects = self.shared.objects.borrow();
        let Some(object) = objects.read(key) else {
            return status(StatusCode::NOT_FOUND);
        };
        with_revision(object.revision, object.value.clone())
    }

    async fn list(&self, query: &str) -> Answer {
        self.shared.count(|counts| counts.lists += 1);
        if let Some(refused) = self.admit_read().await {
            return refused;
        }
        let Some(prefix) = parameter(query, "prefix") else {
            return status(StatusCode::BAD_REQUEST);
        };
        let objects = self.shared.objects.borrow();
        let listing = WireListing {
            revision: objects.revision(),
            objects: objects.below(prefix).into_iter().map(Into::into).collect(),
        };
        json(&listing)
    }

    async fn watch(&self, query: &str) -> Answer {
        self.shared.count(|counts| counts.watches += 1);
        if let Some(refused) = self.admit_read().await {
            return refused;
        }
        let from = parameter(query, "from").and_then(|text| text.parse().ok());
        let wait = parameter(query, "wait_ms").and_then(|text| text.parse().ok());
        let prefix = parameter(query, "prefix");
        let (Some(prefix), Some(from), Some(wait)) = (prefix, from, wait) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let longest = self.shared.settings.watch_wait.0;
        let wait = time::Duration::from_millis(wait).min(longest);
        self.await_events(prefix, from, wait).await
    }

    async fn await_events(&self, prefix: &str, from: u64, wait: time::Duration) -> Answer {
        let deadline = time::Instant::now() + wait;
        loop {
            let faults = self.shared.faults.get();
            if faults.outage || faults.drop_watches || self.shared.stopping.get() {
                return broken();
            }
            let left = deadline.saturating_duration_since(time::Instant::now());
            {
                let objects = self.shared.objects.borrow();
                let Some(events) = objects.since(prefix, from) else {
                    return status(StatusCode::GONE);
                };
                if !events.is_empty() || left.is_zero() {
                    let events = WireEvents {
                        revision: objects.revision(),
                        events: events.into_iter().map(Into::into).collect(),
                    };
                    return json(&events);
                }
            }
            self.shared.changed(left).await;
        }
    }

    async fn put(&self, key: &str, request: http::Request<Incoming>) -> Answer {
        self.shared.count(|counts| counts.writes += 1);
        let key_valid = is_key(key);
        let condition = condition(request.headers());
        let limit = self.shared.settings.value_size.as_len();
        let body = Limited::new(request.into_body(), limit).collect().await;
        if let Some(refused) = self.admit_write().await {
            return refused;
        }
        let Ok(body) = body else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Some(condition) = condition else {
            return status(StatusCode::PRECONDITION_REQUIRED);
        };
        if !key_valid {
            return status(StatusCode::BAD_REQUEST);
        }
        let written = {
            let mut objects = self.shared.objects.borrow_mut();
            objects.put(key, condition, body.to_bytes())
        };
        match written {
            Ok(revision) => self.finish(with_revision(revision, Bytes::new())),
            Err(_) => status(StatusCode::PRECONDITION_FAILED),
        }
    }

    async fn remove(&self, key: &str, request: &http::Request<Incoming>) -> Answer {
        self.shared.count(|counts| counts.removes += 1);
        if let Some(refused) = self.admit_write().await {
            return refused;
        }
        let Some(Condition::Revision(expected)) = condition(request.headers()) else {
            return status(StatusCode::PRECONDITION_REQUIRED);
        };
        let removed = self.shared.objects.borrow_mut().remove(key, expected);
        match removed {
            Ok(()) => self.finish(status(StatusCode::NO_CONTENT)),
            Err(Refusal::Missing) => status(StatusCode::NOT_FOUND),
            Err(Refusal::Conflict) => status(StatusCode::PRECONDITION_FAILED),
        }
    }

    /// Ends a write that took effect; its answer may get lost.
    fn finish(&self, answer: Answer) -> Answer {
        self.shared.notify();
        let lose = self.shared.faults.get().lose_answers;
        let lost = lose > 0.0 && self.shared.draws.borrow_mut().random::<f64>() < lose;
        if lost {
            self.shared.count(|counts| counts.lost += 1);
            return broken();
        }
        answer
    }

    async fn admit_read(&self) -> Option<Answer> {
        self.admit(|shared| shared.reads.borrow_mut().admit(time::Instant::now()))
            .await
    }

    async fn admit_write(&self) -> Option<Answer> {
        self.admit(|shared| shared.writes.borrow_mut().admit(time::Instant::now()))
            .await
    }

    /// Applies the faults and the limit; an answer means that the call is refused unexecuted.
    async fn admit(&self, limit: impl Fn(&Shared) -> Result<(), time::Duration>) -> Option<Answer> {
        let slow = self.shared.faults.get().slow_ms;
        if slow > 0 {
            compio::time::sleep(time::Duration::from_millis(slow)).await;
        }
        if self.shared.faults.get().outage {
            self.shared.count(|counts| counts.refused += 1);
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let wait = limit(&self.shared).err()?;
        self.shared.count(|counts| counts.throttled += 1);
        Some(throttled(wait))
    }
}

/// The value of `name` in a query; keys need no percent-encoding.
fn parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn is_key(key: &str) -> bool {
    const LONGEST_BYTES: usize = 256;
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let segment = |part: &str| !part.is_empty() && part.bytes().all(allowed);
    key.len() <= LONGEST_BYTES && key.split('/').all(segment)
}

fn condition(headers: &http::HeaderMap) -> Option<Condition> {
    if headers
        .get(header::IF_NONE_MATCH)
        .is_some_and(|one| one == "*")
    {
        return Some(Condition::Absent);
    }
    let tag = headers.get(header::IF_MATCH)?.to_str().ok()?;
    let revision = tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()?;
    Some(Condition::Revision(revision))
}

pub(crate) fn status(status: StatusCode) -> Answer {
    let mut answer = http::Response::new(Bytes::new().into());
    *answer.status_mut() = status;
    answer
}

/// Breaks the connection off; the status is never to be trusted.
fn broken() -> Answer {
    let mut answer = http::Response::new(Body::Broken);
    *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    answer
}

fn with_revision(revision: u64, value: Bytes) -> Answer {
    let mut answer = http::Response::new(value.into());
    if let Ok(tag) = format!("\"{revision}\"").parse() {
        answer.headers_mut().insert(header::ETAG, tag);
    }
    answer
}

fn throttled(wait: time::Duration) -> Answer {
    let mut answer = status(StatusCode::TOO_MANY_REQUESTS);
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1);
    let headers = answer.headers_mut();
    headers.insert(header::RETRY_AFTER, millis.div_ceil(1_000).into());
    headers.insert("retry-after-ms", millis.into());
    answer
}

pub(crate) fn json<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(text) => {
            let mut answer = http::Response::new(Bytes::from(text).into());
            let kind = header::HeaderValue::from_static("application/json");
            answer.headers_mut().insert(header::CONTENT_TYPE, kind);
            answer
        }
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
