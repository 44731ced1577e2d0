//! Body of one attempt.

use std::pin;
use std::task;

use bytes::Bytes;

use crate::Payload;
use crate::payload::{Fault, Step};

/// Body of one attempt, read from a [`Payload`].
pub struct Feed {
    payload: Payload,
    generation: u64,
    /// Data frames taken so far.
    place: usize,
    /// Whether the end, or the trailers before it, has been returned.
    ended: bool,
}

/// Reason why a feed ended early.
///
/// The error has no source, so that HTTP/2 resets the stream with `INTERNAL_ERROR`; a server may take a
/// reset with `NO_ERROR` for the end of the body.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The payload failed.
    #[error("the body broke off: {0:?}")]
    Payload(Fault),
    /// The attempt was given up.
    #[error("the attempt was given up")]
    Abandoned,
}

impl Feed {
    pub(crate) fn new(payload: Payload, generation: u64) -> Self {
        Self {
            payload,
            generation,
            place: 0,
            ended: false,
        }
    }

    /// Creates a feed without bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self::new(Payload::new(web::Body::empty(), 0), 0)
    }
}

impl http_body::Body for Feed {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, Error>>> {
        let feed = self.get_mut();
        if feed.ended {
            return task::Poll::Ready(None);
        }
        let mut inner = feed.payload.inner.borrow_mut();
        if inner.generation != feed.generation {
            return task::Poll::Ready(Some(Err(Error::Abandoned)));
        }
        let task::Poll::Ready(step) = inner.poll_step(feed.place, context) else {
            inner.waker = Some(context.waker().clone());
            return task::Poll::Pending;
        };
        task::Poll::Ready(match step {
            Ok(Step::Data(data)) => {
                feed.place += 1;
                Some(Ok(http_body::Frame::data(data)))
            }
            Ok(Step::Trailers(trailers)) => {
                feed.ended = true;
                Some(Ok(http_body::Frame::trailers(trailers)))
            }
            Ok(Step::End) => {
                feed.ended = true;
                None
            }
            Err(fault) => Some(Err(Error::Payload(fault))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.payload.is_empty()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.payload.inner.borrow().size
    }
}
