//! HTTP/1.1 connection, which carries one request at a time.

use std::cell;
use std::io;
use std::rc;
use std::time;

use compio::net;
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};

use crate::head::Head;
use crate::watched::Watched;
use crate::{Feed, Sending};

/// HTTP/1.1 connection, which carries one request at a time.
pub(crate) struct Line {
    sender: http1::SendRequest<Feed>,
    /// Limit on the heads of responses.
    head: Head,
    /// Time for which the server keeps the connection open without a request.
    pub(crate) keep: time::Duration,
    /// Time at which the last response ended.
    pub(crate) used: time::Instant,
    /// Whether a request has been sent.
    is_used: bool,
    /// Requests that were sent and may be sent again, with their deadlines.
    carried: Vec<(u64, time::Instant)>,
}

/// Counts a connection for as long as its driver runs.
struct Open {
    count: rc::Rc<cell::Cell<usize>>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

impl Line {
    /// Time for which an idle connection is kept where the server names none.
    const KEEP: time::Duration = time::Duration::from_secs(4);
    /// Part of the time that the server names for which a connection is used again.
    ///
    /// The server may close it while a request is on its way to it.
    const KEEP_PART: u32 = 2;

    /// Connects to `address`; the connection is in `count` until it is closed.
    pub(crate) async fn open(
        address: units::Address,
        count: rc::Rc<cell::Cell<usize>>,
    ) -> io::Result<Self> {
        count.set(count.get() + 1);
        let open = Open { count };
        let stream = net::TcpStream::connect(address.0).await?;
        stream.set_nodelay(true)?;
        let head = Head::default();
        let watched = Watched::bounded(stream, head.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(Head::BYTES)
            .handshake(watched)
            .await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(address:% = address, error:% = error; "connection failed");
            }
            drop(open);
        })
        .detach();
        Ok(Self {
            sender,
            head,
            keep: Self::KEEP,
            used: time::Instant::now(),
            is_used: false,
            carried: Vec::new(),
        })
    }

    /// Sends one request and waits for the head of its answer.
    ///
    /// # Errors
    /// The error of the connection, with the request where nothing of it was sent.
    pub(crate) async fn send(
        &mut self,
        mut request: http::Request<Feed>,
    ) -> Result<http::Response<Incoming>, TrySendError<http::Request<Feed>>> {
        self.record(&request);
        Sending::write_time_left(&mut request);
        self.head.await_answer();
        let answer = self.sender.try_send_request(request).await;
        self.head.arrived();
        if let Ok(answer) = &answer {
            self.read_keep(answer.headers());
        }
        answer
    }

    /// Whether no request has been sent yet.
    pub(crate) fn is_new(&self) -> bool {
        !self.is_used
    }

    /// Whether the connection has carried a sending of the same request.
    pub(crate) fn has_carried(&self, sending: Option<&Sending>) -> bool {
        let is_same = |(identity, _): &(u64, time::Instant)| {
            sending.is_some_and(|sending| sending.identity == *identity)
        };
        self.carried.iter().any(is_same)
    }

    /// Records that a request is sent, until its deadline.
    fn record(&mut self, request: &http::Request<Feed>) {
        self.is_used = true;
        let now = time::Instant::now();
        self.carried.retain(|(_, deadline)| *deadline > now);
        if let Some(sending) = Sending::of(request) {
            self.carried.push((sending.identity, sending.deadline));
        }
    }

    /// Whether the connection is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection can take a request now.
    pub(crate) fn is_ready(&self, now: time::Instant) -> bool {
        self.sender.is_ready() && !self.is_stale(now)
    }

    /// Whether the connection is closed, or has been idle for so long that the server may close it.
    pub(crate) fn is_stale(&self, now: time::Instant) -> bool {
        self.is_closed() || now.saturating_duration_since(self.used) >= self.keep
    }

    /// Applies the idle timeout that the server announces.
    fn read_keep(&mut self, headers: &http::HeaderMap) {
        let keep = headers.get("keep-alive").and_then(|value| {
            let text = value.to_str().ok()?;
            let mut parameters = text.split(',').map(str::trim);
            let timeout = parameters.find_map(|one| one.strip_prefix("timeout="))?;
            timeout.parse().ok().map(time::Duration::from_secs)
        });
        if let Some(keep) = keep {
            self.keep = keep / Self::KEEP_PART;
        }
    }
}
