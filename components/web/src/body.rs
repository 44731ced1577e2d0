//! Body of a request or an answer.

use std::pin;
use std::task;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use http_body_util::Full;
use hyper::body::Incoming;

/// Why a body ended early.
///
/// The error has no source: hyper resets an HTTP/2 stream with the reason that it finds among the sources,
/// and a reset with `NO_ERROR` or `CANCEL` may be taken for the end of the body.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The connection that delivers it failed.
    #[error("the body broke off: {0}")]
    Broken(CompactString),
    /// The stream was closed before its end.
    #[error("the body was cut short")]
    Cut,
    /// The body is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLong(u64),
}

/// A body that is either in memory or still arriving.
#[derive(Debug)]
pub enum Body {
    /// Whole in memory.
    Full(Full<Bytes>),
    /// Arriving from a connection, with back-pressure.
    Incoming(Incoming),
    /// Arriving, with the number of bytes that may still come and the limit they count from.
    Limited(Incoming, u64, u64),
    /// Arriving on an HTTP/2 stream, as [`Body::arriving`] says.
    Stream(Box<Body>),
}

impl Body {
    /// A body without bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self::Full(Full::default())
    }

    /// An arriving body that fails once more than `limit` bytes have come.
    #[must_use]
    pub fn limited(incoming: Incoming, limit: u64) -> Self {
        Self::Limited(incoming, limit, limit)
    }
}

impl Body {
    /// An arriving body of a message of `version` that must come whole.
    ///
    /// hyper ends a body without an error when its HTTP/2 stream is reset with `NO_ERROR`. Such a
    /// body ends with [`Fault::Cut`] here, unless the end of the stream has come.
    #[must_use]
    pub fn arriving(incoming: Incoming, version: http::Version, limit: Option<u64>) -> Self {
        let body = match limit {
            Some(limit) => Self::limited(incoming, limit),
            None => Self::Incoming(incoming),
        };
        if version == http::Version::HTTP_2 {
            Self::Stream(Box::new(body))
        } else {
            body
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Full(Full::new(text.into()))
    }
}

impl From<Incoming> for Body {
    fn from(incoming: Incoming) -> Self {
        Self::Incoming(incoming)
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, Fault>>> {
        match self.get_mut() {
            Self::Full(full) => {
                let frame = task::ready!(pin::Pin::new(full).poll_frame(context));
                task::Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Incoming(incoming) => {
                let frame = task::ready!(pin::Pin::new(incoming).poll_frame(context));
                task::Poll::Ready(frame.map(|frame| frame.map_err(broken)))
            }
            Self::Limited(incoming, left, limit) => {
                let frame = task::ready!(pin::Pin::new(incoming).poll_frame(context));
                let Some(frame) = frame else {
                    return task::Poll::Ready(None);
                };
                let frame = frame.map_err(broken);
                task::Poll::Ready(Some(frame.and_then(|frame| count(frame, left, *limit))))
            }
            Self::Stream(body) => {
                let frame = task::ready!(pin::Pin::new(body.as_mut()).poll_frame(context));
                if frame.is_none() && !body.is_end_stream() {
                    return task::Poll::Ready(Some(Err(Fault::Cut)));
                }
                task::Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Incoming(incoming) | Self::Limited(incoming, ..) => incoming.is_end_stream(),
            Self::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Incoming(incoming) | Self::Limited(incoming, ..) => incoming.size_hint(),
            Self::Stream(body) => body.size_hint(),
        }
    }
}

fn broken(error: hyper::Error) -> Fault {
    Fault::Broken(error.to_compact_string())
}

/// Takes the frame's bytes off what is `left`.
fn count(
    frame: http_body::Frame<Bytes>,
    left: &mut u64,
    limit: u64,
) -> Result<http_body::Frame<Bytes>, Fault> {
    let length = frame.data_ref().map_or(0, |data| data.len() as u64);
    let rest = left.checked_sub(length).ok_or(Fault::TooLong(limit))?;
    *left = rest;
    Ok(frame)
}
