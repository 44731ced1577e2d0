//! Body of a request that may have to be sent more than once.

use std::cell;
use std::future;
use std::pin;
use std::rc;
use std::task;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use http_body::Body as _;
use xxhash_rust::xxh3;

use crate::Feed;

/// Body of a request, kept up to a limit so that it can be sent again; clones share it.
#[derive(Clone)]
pub struct Payload {
    pub(crate) inner: rc::Rc<cell::RefCell<Inner>>,
}

/// Why a payload ended early.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The payload is longer than the route allows.
    TooLong,
    /// The sender truncated the payload.
    Broken(CompactString),
}

pub(crate) struct Inner {
    body: web::Body,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    limit: usize,
    /// Bytes have gone by that are not kept.
    lost: bool,
    /// First bytes, for a fingerprint.
    head: Vec<u8>,
    trailers: Option<http::HeaderMap>,
    ended: bool,
    fault: Option<Fault>,
    /// Only the feed with this number may read.
    pub(crate) generation: u64,
    pub(crate) waker: Option<task::Waker>,
    pub(crate) size: http_body::SizeHint,
}

/// Result of one read.
pub(crate) enum Step {
    Data(Bytes),
    Trailers(http::HeaderMap),
    End,
}

impl Payload {
    /// Bytes at the start that count for a fingerprint.
    pub const HEAD_BYTES: usize = 4096;

    /// A payload that keeps up to `limit` bytes of `body`.
    #[must_use]
    pub fn new(body: web::Body, limit: usize) -> Self {
        let inner = Inner {
            size: body.size_hint(),
            ended: body.is_end_stream(),
            body,
            kept: Vec::new(),
            kept_bytes: 0,
            limit,
            lost: false,
            head: Vec::new(),
            trailers: None,
            fault: None,
            generation: 0,
            waker: None,
        };
        Self {
            inner: rc::Rc::new(cell::RefCell::new(inner)),
        }
    }

    /// A body that starts from the beginning, and ends every earlier one with an error.
    ///
    /// `None` when the beginning is no longer kept or the payload failed.
    #[must_use]
    pub fn feed(&self) -> Option<Feed> {
        self.abandon();
        let inner = self.inner.borrow();
        if inner.lost || inner.fault.is_some() {
            return None;
        }
        Some(Feed::new(self.clone(), inner.generation))
    }

    /// Ends every feed with an error, so that no receiver takes what it has for the whole.
    pub fn abandon(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.generation += 1;
        let waker = inner.waker.take();
        drop(inner);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Why it ended early, if it did.
    #[must_use]
    pub fn fault(&self) -> Option<Fault> {
        self.inner.borrow().fault.clone()
    }

    /// Whether it can be sent from its beginning.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        let inner = self.inner.borrow();
        !inner.lost && inner.fault.is_none()
    }

    /// Whether it has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let inner = self.inner.borrow();
        inner.ended && inner.kept.is_empty() && !inner.lost
    }

    /// Reads until the first [`Self::HEAD_BYTES`] are there or it has ended.
    pub async fn read_head(&self) {
        future::poll_fn(|context| self.inner.borrow_mut().poll_head(context)).await;
    }

    /// Whether all of it has come.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.inner.borrow().ended
    }

    /// Reads and drops what is still to come, and ends every feed with an error.
    pub async fn discard(&self) {
        self.abandon();
        self.inner.borrow_mut().drop_kept();
        future::poll_fn(|context| self.inner.borrow_mut().poll_rest(context)).await;
    }

    /// Hash of the first bytes that have come, up to [`Self::HEAD_BYTES`].
    #[must_use]
    pub fn head_hash(&self) -> u64 {
        xxh3::xxh3_64(&self.inner.borrow().head)
    }
}

impl Inner {
    /// The step at `place`, which counts what a feed has taken.
    pub(crate) fn poll_step(
        &mut self,
        place: usize,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Result<Step, Fault>> {
        if !self.lost && place < self.kept.len() {
            return task::Poll::Ready(Ok(Step::Data(self.kept[place].clone())));
        }
        if self.ended {
            return task::Poll::Ready(Ok(self.end()));
        }
        self.poll_source(context)
    }

    fn poll_source(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<Step, Fault>> {
        if let Some(fault) = &self.fault {
            return task::Poll::Ready(Err(fault.clone()));
        }
        match task::ready!(pin::Pin::new(&mut self.body).poll_frame(context)) {
            None => {
                self.ended = true;
                task::Poll::Ready(Ok(Step::End))
            }
            Some(Ok(frame)) => task::Poll::Ready(Ok(self.take(frame))),
            Some(Err(error)) => {
                let fault = match error {
                    web::Fault::TooLong(_) => Fault::TooLong,
                    other => Fault::Broken(other.to_compact_string()),
                };
                self.fault = Some(fault.clone());
                task::Poll::Ready(Err(fault))
            }
        }
    }

    fn take(&mut self, frame: http_body::Frame<Bytes>) -> Step {
        match frame.into_data() {
            Ok(data) => {
                self.keep(&data);
                Step::Data(data)
            }
            Err(frame) => {
                self.ended = true;
                self.trailers = frame.into_trailers().ok();
                self.end()
            }
        }
    }

    fn end(&self) -> Step {
        self.trailers.clone().map_or(Step::End, Step::Trailers)
    }

    fn keep(&mut self, data: &Bytes) {
        let wanted = Payload::HEAD_BYTES.saturating_sub(self.head.len());
        self.head.extend_from_slice(&data[..data.len().min(wanted)]);
        if self.lost {
            return;
        }
        if self.kept_bytes + data.len() > self.limit {
            self.drop_kept();
            return;
        }
        self.kept_bytes += data.len();
        self.kept.push(data.clone());
    }

    fn drop_kept(&mut self) {
        self.lost = true;
        self.kept = Vec::new();
    }

    fn poll_rest(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        while !self.ended {
            if task::ready!(self.poll_source(context)).is_err() {
                break;
            }
        }
        task::Poll::Ready(())
    }

    fn poll_head(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        while self.head.len() < Payload::HEAD_BYTES.min(self.limit) && !self.ended {
            match task::ready!(self.poll_source(context)) {
                Ok(Step::Data(_)) => {}
                Ok(Step::Trailers(_) | Step::End) | Err(_) => break,
            }
        }
        task::Poll::Ready(())
    }
}
