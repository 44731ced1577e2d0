//! HTTP/2 connection of a pool.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::time;

use compio::net;
use futures_util::future;
use hyper::client::conn::http2;

use crate::watched::Watched;
use crate::{Cause, Failure, Feed, Lease, Patience, Reply, Sending, Settings};

/// HTTP/2 connection; clones share it.
#[derive(Clone)]
pub(crate) struct Connection {
    sender: http2::SendRequest<Feed>,
    state: rc::Rc<State>,
}

/// State of a connection.
pub(crate) struct State {
    pub(crate) in_flight: cell::Cell<usize>,
    pub(crate) busy_since: cell::Cell<time::Instant>,
    last_read: rc::Rc<cell::Cell<time::Instant>>,
    pub(crate) closed: cell::Cell<bool>,
    /// Silence after which the connection takes no more requests for good.
    retire_after: time::Duration,
}

impl State {
    /// When the server was last heard, or the first of the requests that wait began to.
    fn heard(&self) -> time::Instant {
        self.last_read.get().max(self.busy_since.get())
    }

    /// Ends the use of a connection that has been silent for too long; what waits on it goes on.
    pub(crate) fn retire_if_silent(&self) {
        if self.in_flight.get() > 0 && self.heard().elapsed() >= self.retire_after {
            self.closed.set(true);
        }
    }
}

/// A request that did not get an answer.
pub(crate) enum Unanswered {
    /// The request was not written to the connection and may be sent on another one.
    Unsent(Box<http::Request<Feed>>),
    /// The request may have been written.
    Failed(Failure),
}

impl Connection {
    /// HTTP/2 window of a stream, in bytes: what an answer that its caller does not take holds here.
    const WINDOW_BYTES: u32 = 256 * 1024;
    /// Streams that fill their windows before they hold up the others on the connection.
    const FULL_STREAMS: u32 = 64;
    /// Time for the answer to a ping after which the connection is closed, with all requests on it:
    /// longer than they usually wait, as pings queue behind bodies where a link is full.
    const CLOSE_AFTER: time::Duration = time::Duration::from_secs(20);

    /// Connects to `address`, and waits until the server has sent its settings.
    ///
    /// The kernel accepts connections for a server that is frozen; a request sent on one of them
    /// would be lost without a trace.
    pub(crate) async fn open(address: units::Address, settings: &Settings) -> io::Result<Self> {
        let stream = net::TcpStream::connect(address.0).await?;
        stream.set_nodelay(true)?;
        let now = time::Instant::now();
        let last_read = rc::Rc::new(cell::Cell::new(now));
        let (watched, heard) = Watched::new(stream, last_read.clone());
        let handshake = http2::Builder::new(web::Executor)
            .timer(web::Timer)
            .keep_alive_interval(settings.ping_interval.0)
            .keep_alive_timeout(Self::CLOSE_AFTER)
            .initial_stream_window_size(Self::WINDOW_BYTES)
            .initial_connection_window_size(Self::FULL_STREAMS * Self::WINDOW_BYTES)
            .handshake(watched)
            .await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let state = rc::Rc::new(State {
            in_flight: cell::Cell::new(0),
            busy_since: cell::Cell::new(now),
            last_read,
            closed: cell::Cell::new(false),
            retire_after: settings.ping_interval.0 + settings.ping_timeout.0,
        });
        let ending = state.clone();
        compio::runtime::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(address:% = address, error:% = error; "connection failed");
            }
            ending.closed.set(true);
        })
        .detach();
        let _ = heard.await;
        if state.closed.get() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(Self { sender, state })
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.state.in_flight.get()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state.closed.get() || self.sender.is_closed()
    }

    /// Whether the server has not sent anything for `limit` although requests wait for it.
    ///
    /// Pings make a working connection send something more often than that.
    pub(crate) fn is_silent(&self, now: time::Instant, limit: time::Duration) -> bool {
        if self.in_flight() == 0 {
            return false;
        }
        now.saturating_duration_since(self.state.heard()) > limit
    }

    /// Whether no request has been on it for `limit`.
    pub(crate) fn is_idle(&self, now: time::Instant, limit: time::Duration) -> bool {
        let used = self.state.heard();
        self.in_flight() == 0 && now.saturating_duration_since(used) >= limit
    }

    /// Whether it is the connection that `other` is.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        rc::Rc::ptr_eq(&self.state, &other.state)
    }

    /// Completes once the server has not been heard for the time after which a connection is retired.
    async fn silence(&self) {
        loop {
            let left = self
                .state
                .retire_after
                .saturating_sub(self.state.heard().elapsed());
            if left.is_zero() {
                return;
            }
            compio::time::sleep(left).await;
        }
    }

    /// Sends one request on a stream of its own.
    pub(crate) async fn send(
        mut self,
        mut request: http::Request<Feed>,
        patience: Patience,
    ) -> Result<Reply, Unanswered> {
        let lease = Lease::new(self.state.clone());
        if self.sender.ready().await.is_err() {
            return Err(Unanswered::Unsent(Box::new(request)));
        }
        Sending::write_time_left(&mut request);
        let answered = self.sender.try_send_request(request);
        let answered = match patience {
            Patience::Answer => answered.await,
            Patience::Silence => {
                let silence = pin::pin!(self.silence());
                match future::select(pin::pin!(answered), silence).await {
                    future::Either::Left((answered, _)) => answered,
                    future::Either::Right(_) => {
                        return Err(Unanswered::Failed(Cause::Silent.into()));
                    }
                }
            }
        };
        match answered {
            Ok(response) => Ok(Reply {
                response,
                lease,
                is_first: true,
            }),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(Unanswered::Unsent(Box::new(request))),
                None => Err(Unanswered::Failed(Cause::of(error.error()).into())),
            },
        }
    }
}
