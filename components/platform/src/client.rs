//! Client of a versioned object store over HTTP/1.1.

use std::cell;
use std::rc;
use std::time;

use compact_str::{ToCompactString, format_compact};
use http::StatusCode;

use crate::eras::Eras;
use crate::form::{Answer, Ask};
use crate::{
    Breaker, Bucket, Counts, Era, Error, Events, Form, Key, Listing, Native, Object, Revision,
    Settings, Store,
};

/// Wait after a 429 that names none.
const THROTTLE_WAIT: time::Duration = time::Duration::from_secs(1);

/// Client of a versioned object store; clones share connections, limits and counts.
///
/// Limits, back-off, circuit breaker and counts are the same for every store; `F` is the form of
/// its calls.
pub struct Client<F = Native> {
    inner: rc::Rc<Inner<F>>,
}

impl<F> Clone for Client<F> {
    fn clone(&self) -> Self {
        let inner = self.inner.clone();
        Self { inner }
    }
}

struct Inner<F> {
    form: F,
    http: cyper::Client,
    address: units::Address,
    settings: Settings,
    writes: cell::RefCell<Bucket>,
    reads: cell::RefCell<Bucket>,
    breaker: cell::RefCell<Breaker>,
    eras: Eras,
    counts: cell::Cell<Counts>,
}

/// Sort of a call, by the platform's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sort {
    Read,
    Write,
}

impl Client {
    /// A client of the platform's object API at `address`.
    ///
    /// # Errors
    /// As of [`Client::open_as`].
    pub fn open(address: units::Address, settings: Settings) -> Result<Self, Error> {
        Self::open_as(Native, address, settings)
    }
}

impl<F: Form> Client<F> {
    /// Largest answer that is read, in bytes.
    const ANSWER_BYTES: usize = 64 * 1024 * 1024;

    /// A client of the store at `address`, whose calls have this `form`.
    ///
    /// # Errors
    /// [`Error::Invalid`] when the HTTP client cannot be built.
    pub fn open_as(form: F, address: units::Address, settings: Settings) -> Result<Self, Error> {
        let http = cyper::Client::builder()
            .no_proxy()
            .redirect(cyper::redirect::Policy::none())
            .build()
            .map_err(|error| Error::Invalid(error.to_compact_string()))?;
        let now = time::Instant::now();
        let breaker = Breaker::new(settings.breaker_failures, settings.breaker_wait.0);
        let inner = Inner {
            form,
            http,
            address,
            writes: cell::RefCell::new(Bucket::new(settings.writes, settings.burst, now)),
            reads: cell::RefCell::new(Bucket::new(settings.reads, settings.burst, now)),
            breaker: cell::RefCell::new(breaker),
            eras: Eras::default(),
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
        Counts {
            era: self.inner.eras.known().0.into(),
            ..self.inner.counts.get()
        }
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
    async fn call(
        &self,
        ask: Ask,
        sort: Sort,
        wait: time::Duration,
        add: impl FnOnce(&mut Counts),
    ) -> Result<Answer, Error> {
        self.await_token(sort).await?;
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
        let sent = ask.body.len() as u64;
        self.count(|counts| counts.sent_bytes += sent);
        let timeout = self.inner.settings.timeout.0 + wait;
        let result = match compio::time::timeout(timeout, self.exchange(ask)).await {
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

    async fn exchange(&self, ask: Ask) -> Result<Answer, Error> {
        let request = self.request(ask)?;
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
        let headers = response.headers().clone();
        let body = response.bytes().await;
        let body = body.map_err(|_| Error::Unknown("the answer broke off".into()))?;
        Ok(Answer {
            status,
            era: self.inner.eras.observe(&headers)?,
            headers,
            body: body.into(),
        })
    }

    fn request(&self, ask: Ask) -> Result<cyper::RequestBuilder, Error> {
        let url = format!("http://{}{}", self.inner.address, ask.path);
        let invalid = |error: cyper::Error| Error::Invalid(error.to_compact_string());
        let mut request = self.inner.http.request(ask.method, url).map_err(invalid)?;
        if let Some((name, value)) = ask.header {
            request = request.header(name, value.as_str()).map_err(invalid)?;
        }
        Ok(request.body(ask.body))
    }

    async fn write(&self, ask: Ask) -> Result<Revision, Error> {
        let add = |counts: &mut Counts| counts.writes += 1;
        let answer = self
            .call(ask, Sort::Write, time::Duration::ZERO, add)
            .await?;
        let written = self.inner.form.written(&answer)?;
        Eras::stamped(written.in_era(answer.era))
    }

    /// Lists the objects below `prefix` page by page; `ask` is the call for the page after a key.
    async fn list_pages(
        &self,
        prefix: &str,
        ask: impl Fn(Option<&Key>) -> Ask,
    ) -> Result<Listing, Error> {
        let mut whole = Listing {
            revision: Revision::default(),
            objects: Vec::new(),
        };
        let mut after = None;
        loop {
            let ask = ask(after.as_ref());
            let answer = self.get(ask, |counts| counts.lists += 1).await?;
            let page = self.inner.form.page(prefix, &answer)?;
            let listing = Eras::stamped(page.listing.in_era(answer.era))?;
            if after.is_none() {
                // Changes while the pages are read come with a watch from the first page.
                whole.revision = listing.revision;
            } else if listing.revision.era() != whole.revision.era() {
                return Err(Error::Gone);
            }
            whole.objects.extend(listing.objects);
            after = match whole.objects.last() {
                Some(last) if page.more => Some(last.key.clone()),
                _ => return Ok(whole),
            };
        }
    }

    async fn get(&self, ask: Ask, add: impl FnOnce(&mut Counts)) -> Result<Answer, Error> {
        self.call(ask, Sort::Read, time::Duration::ZERO, add).await
    }
}

impl<F: Form> Store for Client<F> {
    async fn read(&self, key: &Key) -> Result<Option<Object>, Error> {
        let ask = self.inner.form.read(key);
        let answer = self.get(ask, |counts| counts.reads += 1).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => {
                let era = answer.era;
                let object = self.inner.form.object(key, answer)?;
                Eras::stamped(object.in_era(era)).map(Some)
            }
        }
    }

    async fn create(&self, key: &Key, value: Vec<u8>) -> Result<Revision, Error> {
        self.write(self.inner.form.create(key, value)).await
    }

    async fn update(
        &self,
        key: &Key,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<Revision, Error> {
        self.inner.eras.check_condition(expected)?;
        let ask = self.inner.form.update(key, expected, value);
        let written = self.write(ask).await?;
        Eras::check_written(expected, written.era())?;
        Ok(written)
    }

    async fn remove(&self, key: &Key, expected: Revision) -> Result<(), Error> {
        self.inner.eras.check_condition(expected)?;
        let ask = self.inner.form.remove(key, expected);
        let add = |counts: &mut Counts| counts.removes += 1;
        let answer = self
            .call(ask, Sort::Write, time::Duration::ZERO, add)
            .await?;
        self.inner.form.removed(&answer)?;
        Eras::check_written(expected, answer.era)
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let form = &self.inner.form;
        self.list_pages(prefix, |after| form.list(prefix, after))
            .await
    }

    async fn list_stale(&self, prefix: &str) -> Result<Listing, Error> {
        let form = &self.inner.form;
        self.list_pages(prefix, |after| form.list_stale(prefix, after))
            .await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: time::Duration,
    ) -> Result<Events, Error> {
        let ask = self.inner.form.watch(prefix, from, wait);
        let add = |counts: &mut Counts| counts.watches += 1;
        let answer = self.call(ask, Sort::Read, wait, add).await?;
        if answer.status == StatusCode::GONE {
            return Err(Error::Gone);
        }
        if answer.era != from.era() {
            return Err(Error::Gone);
        }
        Eras::stamped(self.inner.form.events(prefix, &answer)?.in_era(answer.era))
    }

    fn era(&self) -> Era {
        self.inner.eras.known()
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

fn retry_after(headers: &http::HeaderMap) -> time::Duration {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
    let millis = number("retry-after-ms").map(time::Duration::from_millis);
    let seconds = || number("retry-after").map(time::Duration::from_secs);
    millis.or_else(seconds).unwrap_or(THROTTLE_WAIT)
}
