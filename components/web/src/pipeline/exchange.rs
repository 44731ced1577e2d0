//! A pipelined request and its response.

use std::cell;
use std::convert;
use std::ops;
use std::pin;
use std::rc;
use std::task;

use hyper::body::Incoming;
use hyper::server::conn::http1;

use super::memory::Memory;
use super::outbox::Outbox;
use crate::clients::{self, Answer, Client, Running};
use crate::server::Handler;
use crate::unframed::Asked;
use crate::{Limits, Peer, says_close};

/// A server connection in memory, by what is done with it.
pub(crate) trait Driven: Future<Output = Result<(), hyper::Error>> {
    /// Lets the answer say that the connection closes, where its head is not written yet.
    fn close(self: pin::Pin<&mut Self>);
}

/// A pipelined request and its response.
pub(crate) struct Exchange<D> {
    memory: Memory,
    /// `None` once the answer was written whole, or failed.
    driver: Option<pin::Pin<Box<D>>>,
    /// Counts the request as in progress for as long as the driver lives.
    running: Option<Running>,
    progress: rc::Rc<Progress>,
}

/// How far an answer has got.
#[derive(Default)]
struct Progress {
    /// Whether the response body was completely written or dropped.
    body_ended: cell::Cell<bool>,
    /// Whether the response head announces that the connection closes.
    closes: cell::Cell<bool>,
    /// Whether the end of the response is the close of its connection.
    unframed: cell::Cell<bool>,
    /// Whether the response failed before its end.
    failed: cell::Cell<bool>,
}

/// The client of an answer, which tells the progress when the server has done with the body.
struct Follower {
    client: rc::Rc<Client>,
    progress: rc::Rc<Progress>,
}

/// Starts the work on the request in `head`.
pub(crate) fn start<H: Handler>(
    head: Vec<u8>,
    handler: H,
    peer: Peer,
    limits: Limits,
    client: &rc::Rc<Client>,
) -> Exchange<impl Driven> {
    let memory = Memory::new(head);
    let progress = rc::Rc::new(Progress::default());
    let followed = progress.clone();
    let has_room = client.has_room();
    let running = client.start();
    let client = client.clone();
    let service = hyper::service::service_fn(move |mut request: http::Request<Incoming>| {
        request.extensions_mut().insert(peer);
        if !has_room {
            request.extensions_mut().insert(clients::Short);
        }
        let asked = Asked::new(&request);
        // Boxed, as its place in the futures around it would be several times its size.
        let answer = Box::pin(handler.clone().handle(request));
        let progress = followed.clone();
        let client = client.clone();
        async move {
            let answer = answer.await;
            progress.unframed.set(asked.is_unframed(&answer));
            progress.closes.set(says_close(answer.headers()));
            let follower = Follower { client, progress };
            Ok::<_, convert::Infallible>(answer.map(|body| Answer::new(body, follower)))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes as usize)
        .serve_connection(memory.clone(), service);
    Exchange {
        memory,
        driver: Some(Box::pin(connection)),
        running: Some(running),
        progress,
    }
}

impl<D: Driven> Exchange<D> {
    /// Works on the request.
    pub(crate) fn poll(&mut self, context: &mut task::Context<'_>) {
        let Some(driver) = &mut self.driver else {
            return;
        };
        match driver.as_mut().poll(context) {
            task::Poll::Pending => {
                if self.progress.body_ended.get() && self.memory.is_flushed() {
                    self.end();
                }
            }
            task::Poll::Ready(ended) => {
                let whole = ended.is_ok() && self.progress.body_ended.get();
                self.progress.failed.set(!whole);
                // hyper ends its connection after an answer to a request that asks for that.
                self.progress.closes.set(true);
                self.end();
            }
        }
    }

    fn end(&mut self) {
        self.driver = None;
        self.running = None;
    }

    /// Moves what was answered to `to`; whether there was something.
    pub(crate) fn take_answer(&mut self, to: &mut Outbox) -> bool {
        self.memory.take_answer(to)
    }

    /// Whether the answer has come to its end whole; `None` while it has not ended.
    pub(crate) fn is_answered(&self) -> Option<bool> {
        match self.driver {
            Some(_) => None,
            None => Some(!self.progress.failed.get()),
        }
    }

    /// Whether the end of this answer is the close of its connection.
    pub(crate) fn is_unframed(&self) -> bool {
        self.progress.unframed.get()
    }

    /// Whether the connection closes after this answer.
    pub(crate) fn says_close(&self) -> bool {
        self.progress.closes.get()
    }

    /// Lets the answer say that the connection closes.
    pub(crate) fn close(&mut self) {
        self.progress.closes.set(true);
        if let Some(driver) = &mut self.driver {
            driver.as_mut().close();
        }
    }
}

impl<S, B> Driven for http1::Connection<Memory, S>
where
    S: hyper::service::HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: http_body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn close(self: pin::Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

impl ops::Deref for Follower {
    type Target = Client;

    fn deref(&self) -> &Client {
        &self.client
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.progress.body_ended.set(true);
    }
}
