//! Requests that a client sends before the earlier ones on its connection are answered.
//!
//! Pipelined requests are handled concurrently; their responses are sent in the order of the requests,
//! as RFC 9112, section 9.3.2, requires. hyper's server handles one request at a time, so each request
//! gets an in-memory server connection, which parses and answers it. Only requests without a body are
//! handled this way; the first other request hands the connection over to hyper.

pub(crate) mod exchange;
mod head;
mod memory;
mod outbox;
mod rewound;

use std::collections::VecDeque;
use std::future;
use std::io;
use std::pin;
use std::task;
use std::time;

use compio::net;
use cyper_core::HyperStream;
use hyper::rt;

use self::exchange::{Driven, Exchange};
use self::head::Head;
use self::outbox::Outbox;
pub(crate) use self::rewound::Rewound;
use crate::Limits;
use crate::clients::Metered;
use crate::unframed::Ending;

type Stream = Metered<HyperStream<net::TcpStream>>;

/// Result of handling a connection.
pub(crate) enum Ended {
    /// The connection is closed.
    Closed,
    /// The connection is handed over to hyper: the stream, with the bytes already read.
    Rest(Rewound<Stream>),
}

/// Maximum number of bytes of one read.
const CHUNK_BYTES: usize = 8 * 1024;

/// A connection whose requests are handled concurrently, each by the future that `start` returns for its head.
pub(crate) struct Pipeline<F, D> {
    stream: Stream,
    start: F,
    limits: Limits,
    /// Bytes read that belong to no exchange yet.
    read: Vec<u8>,
    /// Requests without a complete response, oldest first.
    exchanges: VecDeque<Exchange<D>>,
    outbox: Outbox,
    /// Whether the stream holds bytes that the socket has not taken.
    unflushed: bool,
    next: Next,
}

/// What follows the accepted requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// Further requests.
    Request,
    /// A request that hyper has to handle.
    Rest,
    /// The end of the connection.
    Close,
}

impl<F: Fn(Vec<u8>) -> Exchange<D>, D: Driven> Pipeline<F, D> {
    /// Number of bytes read ahead of the requests in progress from which on no more are read.
    const READ_AHEAD: usize = 8 * 1024;
    /// Maximum wait for a client to close a connection after its last response; closing a connection
    /// with unread bytes would reset it, and the client could lose that response.
    const CLOSE_WAIT: time::Duration = time::Duration::from_millis(300);
    /// Wait for a first request when the server stops before one has come.
    const FIRST_WAIT: time::Duration = time::Duration::from_millis(200);

    pub(crate) fn new(stream: Stream, limits: Limits, start: F) -> Self {
        Self {
            stream,
            start,
            limits,
            read: Vec::new(),
            exchanges: VecDeque::new(),
            outbox: Outbox::default(),
            unflushed: false,
            next: Next::Request,
        }
    }

    /// Handles requests until the connection closes or has to be handed over.
    pub(crate) async fn run(mut self, stop: &kernel::Stop) -> Ended {
        let ended = self.serve(stop).await;
        match ended {
            Ok(()) if self.next == Next::Rest => {
                self.stream.client().set_ahead(0);
                Ended::Rest(Rewound::new(self.read, self.stream))
            }
            Ok(()) => {
                self.close().await;
                Ended::Closed
            }
            Err(error) => {
                log::debug!(error:% = error; "connection ended with an error");
                Ended::Closed
            }
        }
    }

    /// Runs until the connection closes or has to be handed over.
    async fn serve(&mut self, stop: &kernel::Stop) -> io::Result<()> {
        let mut stopped = pin::pin!(stop.requested());
        let mut taken = false;
        loop {
            let idle = self.exchanges.is_empty() && self.outbox.is_empty() && !self.unflushed;
            if idle && self.next != Next::Request {
                return Ok(());
            }
            let limit = idle.then_some(self.limits.header_timeout);
            let step = future::poll_fn(|context| {
                if self.next == Next::Request && stopped.as_mut().poll(context).is_ready() {
                    return task::Poll::Ready(Step::Stop);
                }
                self.poll_step(context).map(Step::Moved)
            });
            let step = match limit {
                None => step.await,
                Some(limit) => match compio::time::timeout(limit, step).await {
                    Ok(step) => step,
                    Err(_) => return Ok(()),
                },
            };
            match step {
                Step::Moved(moved) => taken |= moved?,
                Step::Stop if idle && !taken => {
                    let first = future::poll_fn(|context| self.poll_step(context));
                    if let Ok(moved) = compio::time::timeout(Self::FIRST_WAIT, first).await {
                        moved?;
                    }
                    self.stop();
                }
                Step::Stop => self.stop(),
            }
        }
    }

    /// Accepts no further request; the last response announces that the connection closes. hyper
    /// does that for a request that it has to handle.
    fn stop(&mut self) {
        if self.next == Next::Rest {
            return;
        }
        self.next = Next::Close;
        if let Some(last) = self.exchanges.back_mut() {
            last.close();
        }
    }

    /// Reads, handles and writes until there is progress; returns whether a request was accepted.
    fn poll_step(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<bool>> {
        let mut moved = self.poll_read(context)?.is_ready();
        let taken = self.take_requests();
        moved |= taken | self.poll_exchanges(context)?;
        moved |= self.poll_write(context)?.is_ready();
        if moved {
            task::Poll::Ready(Ok(taken))
        } else {
            task::Poll::Pending
        }
    }

    fn poll_read(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let is_ahead = !self.exchanges.is_empty() && self.read.len() >= Self::READ_AHEAD;
        if self.next != Next::Request || is_ahead {
            return task::Poll::Pending;
        }
        let mut chunk = [0; CHUNK_BYTES];
        let mut buffer = rt::ReadBuf::new(&mut chunk);
        task::ready!(rt::Read::poll_read(
            pin::Pin::new(&mut self.stream),
            context,
            buffer.unfilled()
        ))?;
        if buffer.filled().is_empty() {
            // The client has closed the connection and waits for no further response.
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        self.read.extend_from_slice(buffer.filled());
        task::Poll::Ready(Ok(()))
    }

    /// Starts handling each complete request that was read; returns whether there was one.
    fn take_requests(&mut self) -> bool {
        let mut taken = false;
        while self.next == Next::Request && self.exchanges.len() < self.limits.pipelined {
            match Head::find(&self.read) {
                Head::Bodiless(_) if !self.may_start() => break,
                Head::Partial if self.read.len() < self.limits.header_bytes as usize => break,
                Head::Bodiless(length) => {
                    let rest = self.read.split_off(length);
                    let head = std::mem::replace(&mut self.read, rest);
                    self.exchanges.push_back((self.start)(head));
                    taken = true;
                }
                Head::Partial | Head::Other => self.next = Next::Rest,
            }
        }
        let client = self.stream.client();
        client.set_ahead(self.read.len());
        taken
    }

    /// Whether a further request may be started: while memory is short, a connection has one at a time.
    fn may_start(&self) -> bool {
        let is_free = self.exchanges.is_empty() && self.outbox.is_empty();
        is_free || self.stream.client().has_spare()
    }

    /// Polls all requests and collects the responses of the oldest ones.
    fn poll_exchanges(&mut self, context: &mut task::Context<'_>) -> io::Result<bool> {
        let mut moved = false;
        for exchange in &mut self.exchanges {
            exchange.poll(context);
        }
        while self.outbox.has_room()
            && let Some(first) = self.exchanges.front_mut()
        {
            let is_unframed = first.is_unframed();
            if is_unframed {
                self.stream.client().set_ending(Ending::Open);
            }
            moved |= first.take_answer(&mut self.outbox);
            let Some(whole) = first.is_answered() else {
                break;
            };
            moved = true;
            let closes = is_unframed || first.says_close();
            if is_unframed && whole {
                self.stream.client().set_ending(Ending::Whole);
            }
            self.exchanges.pop_front();
            if closes || !whole {
                // Requests sent behind a response that closes the connection count as not read.
                self.exchanges.clear();
                self.next = Next::Close;
            }
        }
        Ok(moved)
    }

    fn poll_write(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let mut stream = pin::Pin::new(&mut self.stream);
        if !self.outbox.is_empty() {
            let bytes = self.outbox.unwritten();
            let written = task::ready!(rt::Write::poll_write(stream.as_mut(), context, bytes))?;
            self.outbox.advance(written);
            self.unflushed = true;
            return task::Poll::Ready(Ok(()));
        }
        if self.unflushed {
            task::ready!(rt::Write::poll_flush(stream, context))?;
            self.unflushed = false;
            return task::Poll::Ready(Ok(()));
        }
        task::Poll::Pending
    }

    /// Closes the connection once the client has received the written bytes.
    async fn close(&mut self) {
        let shutting = future::poll_fn(|context| {
            let stream = pin::Pin::new(&mut self.stream);
            rt::Write::poll_shutdown(stream, context)
        });
        if shutting.await.is_err() {
            return;
        }
        let ending = future::poll_fn(|context| self.poll_end(context));
        let _ = compio::time::timeout(Self::CLOSE_WAIT, ending).await;
    }

    /// Reads and discards bytes until the client closes its side.
    fn poll_end(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let mut chunk = [0; CHUNK_BYTES];
        loop {
            let mut buffer = rt::ReadBuf::new(&mut chunk);
            let stream = pin::Pin::new(&mut self.stream);
            let read = task::ready!(rt::Read::poll_read(stream, context, buffer.unfilled()));
            if read.is_err() || buffer.filled().is_empty() {
                return task::Poll::Ready(());
            }
        }
    }
}

/// Progress on a connection.
enum Step {
    /// Bytes were transferred, or the connection failed; the flag tells whether a request was accepted.
    Moved(io::Result<bool>),
    /// The server is stopping.
    Stop,
}
