//! Client of the object API over HTTP/1.1.

use std::cell;
use std::rc;
use std::time;

use compact_str::{CompactString, ToCompactString, format_compact};
use http::{HeaderName, StatusCode, header};

use crate::{
    Breaker, Bucket, Counts, Error, Events, Key, Listing, Object, Revision, Settings, Store, wire,
};

/// Client of the object API; clones share connections, limits and counts.
#[derive(Clone)]
pub struct Client {
    inner: rc::Rc<Inner>,
}

struct Inner {
    http: cyper::Client,
    address: units::Address,
    settings: Settings,
    writes: cell::RefCell<Bucket>,
    reads: cell::RefCell<Bucket>,
    breaker: cell::RefCell<Breaker>,
    counts: cell::Cell<Counts>,
}

/// Sort of a call, by the platform's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sort {
    Read,
    Write,
}

/// One call before it is sent.
struct Call {
    sort: Sort,
    method: http::Method,
    path: CompactString,
    condition: Option<(HeaderName, CompactString)>,
    body: Vec<u8>,
    timeout: time::Duration,
}

/// An answer that was received whole.
struct Answer {
    status: StatusCode,
    revision: Option<Revision>,
    body: Vec<u8>,
}

impl Client {
    /// Largest answer that is read, in bytes.
    const ANSWER_BYTES: usize = 64 * 1024 * 1024;
    /// Wait after a 429 that names none.
    const THROTTLE_WAIT: time::Duration = time::Duration::from_secs(1);

    /// A client of the platform at `address`.
    ///
    /// # Errors
    /// [`Error::Invalid`] when the HTTP client cannot be built.
    pub fn open(address: units::Address, settings: Settings) -> Result<Self, Error> {
        let http = cyper::Client::builder()
            .no_proxy()
            .redirect(cyper::redirect::Policy::none())
            .build()
            .map_err(|error| Error::Invalid(error.to_compact_string()))?;
        let now = time::Instant::now();
        let breaker = Breaker::new(settings.breaker_failures, settings.breaker_wait.0);
        let inner = Inner {
            http,
            address,
            writes: cell::RefCell::new(Bucket::new(settings.writes, settings.burst, now)),
            reads: cell::RefCell::new(Bucket::new(settings.reads, settings.burst, now)),
            breaker: cell::RefCell::new(breaker),
            counts: cell::Cell::default(),
            settings,
        };
        Ok(Self {
            inner: rc::Rc::new(inner),
        })
    }

    /// Calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.inner.counts.get()
    }

    /// Whether the circuit breaker refuses calls.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.inner.breaker.borrow().is_open()
    }

    fn count(&self, add: impl FnOnce(&mut Counts)) {
        let mut counts = self.inner.counts.get();
        add(&mut counts);
        self.inner.counts.set(counts);
    }

    /// Sends one call, within our own limits.
    async fn call(&self, call: Call, add: impl FnOnce(&mut Counts)) -> Result<Answer, Error> {
        self.await_token(call.sort).await?;
        let now = time::Instant::now();
        let admitted = self
            .inner
            .breaker
            .borrow_mut()
            .admit(now, self.inner.settings.timeout.0);
        if admitted.is_err() {
            self.count(|counts| counts.broken += 1);
            return Err(Error::Unavailable("the circuit breaker is open".into()));
        }
        self.count(add);
        let sent = call.body.len() as u64;
        self.count(|counts| counts.sent_bytes += sent);
        let sort = call.sort;
        let timeout = call.timeout;
        let result = match compio::time::timeout(timeout, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Unknown("no answer in time".into())),
        };
        self.record(sort, &result);
        result
    }

    /// Waits for our own limit, but not longer than the setting says.
    async fn await_token(&self, sort: Sort) -> Result<(), Error> {
        let deadline = time::Instant::now() + self.inner.settings.queue.0;
        loop {
            let now = time::Instant::now();
            let Err(wait) = self.bucket(sort).borrow_mut().take(now) else {
                return Ok(());
            };
            if now + wait > deadline {
                self.count(|counts| counts.held_back += 1);
                return Err(Error::Throttled(wait));
            }
            compio::time::sleep(wait).await;
        }
    }

    fn bucket(&self, sort: Sort) -> &cell::RefCell<Bucket> {
        match sort {
            Sort::Read => &self.inner.reads,
            Sort::Write => &self.inner.writes,
        }
    }

    /// Lets the limits learn from the end of a call.
    fn record(&self, sort: Sort, result: &Result<Answer, Error>) {
        let now = time::Instant::now();
        let mut breaker = self.inner.breaker.borrow_mut();
        match result {
            Ok(answer) => {
                breaker.succeed();
                let received = answer.body.len() as u64;
                self.count(|counts| counts.received_bytes += received);
            }
            Err(Error::Unavailable(_)) => {
                breaker.fail(now, &mut rand::rng());
                self.count(|counts| counts.unavailable += 1);
            }
            Err(Error::Unknown(_)) => {
                breaker.fail(now, &mut rand::rng());
                self.count(|counts| counts.unknown += 1);
            }
            Err(Error::Throttled(wait)) => {
                breaker.succeed();
                self.bucket(sort).borrow_mut().close_for(*wait, now);
                self.count(|counts| counts.throttled += 1);
            }
            Err(Error::Conflict | Error::Gone | Error::Invalid(_)) => breaker.succeed(),
        }
    }

    async fn exchange(&self, call: Call) -> Result<Answer, Error> {
        let request = self.request(call)?;
        let response = request.send().await.map_err(|error| sent_error(&error))?;
        let status = response.status();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::Unavailable("the platform is down".into()));
        }
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(Error::Throttled(retry_after(response.headers())));
        }
        if status.is_server_error() {
            return Err(Error::Unknown(format_compact!("status {status}")));
        }
        let length = response.content_length().unwrap_or_default();
        if length > Self::ANSWER_BYTES as u64 {
            return Err(Error::Unknown("the answer is too long".into()));
        }
        let revision = revision(response.headers());
        let body = response.bytes().await;
        let body = body.map_err(|_| Error::Unknown("the answer broke off".into()))?;
        Ok(Answer {
            status,
            revision,
            body: body.into(),
        })
    }

    fn request(&self, call: Call) -> Result<cyper::RequestBuilder, Error> {
        let url = format!("http://{}{}", self.inner.address, call.path);
        let invalid = |error: cyper::Error| Error::Invalid(error.to_compact_string());
        let mut request = self.inner.http.request(call.method, url).map_err(invalid)?;
        if let Some((name, value)) = call.condition {
            request = request.header(name, value.as_str()).map_err(invalid)?;
        }
        Ok(request.body(call.body))
    }

    async fn write(
        &self,
        method: http::Method,
        key: &Key,
        condition: (HeaderName, CompactString),
        body: Vec<u8>,
    ) -> Result<Answer, Error> {
        let removes = method == http::Method::DELETE;
        let call = Call {
            sort: Sort::Write,
            method,
            path: format_compact!("/v1/objects/{key}"),
            condition: Some(condition),
            body,
            timeout: self.inner.settings.timeout.0,
        };
        let add = move |counts: &mut Counts| {
            if removes {
                counts.removes += 1;
            } else {
                counts.writes += 1;
            }
        };
        let answer = self.call(call, add).await?;
        match answer.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(answer),
            StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => Err(Error::Conflict),
            status => Err(refused(status)),
        }
    }

    async fn get(
        &self,
        path: CompactString,
        wait: time::Duration,
        add: impl FnOnce(&mut Counts),
    ) -> Result<Answer, Error> {
        let call = Call {
            sort: Sort::Read,
            method: http::Method::GET,
            path,
            condition: None,
            body: Vec::new(),
            timeout: self.inner.settings.timeout.0 + wait,
        };
        self.call(call, add).await
    }
}

impl Store for Client {
    async fn read(&self, key: &Key) -> Result<Option<Object>, Error> {
        let path = format_compact!("/v1/objects/{key}");
        let answer = self
            .get(path, time::Duration::ZERO, |counts| counts.reads += 1)
            .await?;
        match answer.status {
            StatusCode::OK => {
                let revision = answer.revision.ok_or_else(no_revision)?;
                let key = key.clone();
                let value = answer.body;
                Ok(Some(Object {
                    key,
                    revision,
                    value,
                }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refused(status)),
        }
    }

    async fn create(&self, key: &Key, value: Vec<u8>) -> Result<Revision, Error> {
        let condition = (header::IF_NONE_MATCH, "*".into());
        let answer = self.write(http::Method::PUT, key, condition, value).await?;
        answer.revision.ok_or_else(no_revision)
    }

    async fn update(
        &self,
        key: &Key,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<Revision, Error> {
        let condition = (header::IF_MATCH, tag(expected));
        let answer = self.write(http::Method::PUT, key, condition, value).await?;
        answer.revision.ok_or_else(no_revision)
    }

    async fn remove(&self, key: &Key, expected: Revision) -> Result<(), Error> {
        let condition = (header::IF_MATCH, tag(expected));
        let answer = self.write(http::Method::DELETE, key, condition, Vec::new());
        answer.await.map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let path = format_compact!("/v1/objects?prefix={prefix}");
        let answer = self
            .get(path, time::Duration::ZERO, |counts| counts.lists += 1)
            .await?;
        match answer.status {
            StatusCode::OK => wire::decode_listing(&answer.body),
            status => Err(refused(status)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: time::Duration,
    ) -> Result<Events, Error> {
        let millis = wait.as_millis();
        let path = format_compact!("/v1/watch?prefix={prefix}&from={from}&wait_ms={millis}");
        let answer = self.get(path, wait, |counts| counts.watches += 1).await?;
        match answer.status {
            StatusCode::OK => wire::decode_events(&answer.body),
            StatusCode::GONE => Err(Error::Gone),
            status => Err(refused(status)),
        }
    }
}

/// Says of a failed exchange whether the platform can have executed it.
fn sent_error(error: &cyper::Error) -> Error {
    let text = error.to_compact_string();
    match error {
        cyper::Error::HyperClient(inner) if inner.is_connect() => Error::Unavailable(text),
        _ => Error::Unknown(text),
    }
}

fn refused(status: StatusCode) -> Error {
    Error::Invalid(format_compact!("status {status}"))
}

fn no_revision() -> Error {
    Error::Unknown("the answer names no revision".into())
}

fn tag(revision: Revision) -> CompactString {
    format_compact!("\"{revision}\"")
}

fn revision(headers: &http::HeaderMap) -> Option<Revision> {
    let tag = headers.get(header::ETAG)?.to_str().ok()?;
    let number = tag.strip_prefix('"')?.strip_suffix('"')?;
    number.parse().ok().map(Revision)
}

fn retry_after(headers: &http::HeaderMap) -> time::Duration {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
    let millis = number("retry-after-ms").map(time::Duration::from_millis);
    let seconds = || number("retry-after").map(time::Duration::from_secs);
    millis.or_else(seconds).unwrap_or(Client::THROTTLE_WAIT)
}
