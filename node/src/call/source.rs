//! Source of a response body.

use std::collections::VecDeque;
use std::pin;
use std::task;

use bytes::Bytes;
use http::header;
use http_body::Body as _;

/// Source of a response body.
pub enum Source {
    /// The body is in memory.
    Memory(web::Body),
    /// The body is received over a connection.
    Connection(web::Body, upstream::Lease),
    /// The beginning of the body is in memory, and the rest is still being received.
    Chained(VecDeque<Bytes>, Box<Source>),
}

impl Source {
    /// Creates a body in memory.
    #[must_use]
    pub fn memory(bytes: Bytes) -> Self {
        Self::Memory(bytes.into())
    }

    /// Splits `reply` into its head and its body, which has to be complete.
    #[must_use]
    pub fn split(reply: upstream::Reply) -> (http::response::Parts, Self) {
        let (parts, incoming) = reply.response.into_parts();
        let body = web::Body::arriving(incoming, parts.version, None);
        (parts, Self::Connection(body, reply.lease))
    }

    /// Whether the body of the response with this head has no length and ends with its connection.
    pub(crate) fn is_unframed(&self, parts: &http::response::Parts) -> bool {
        let is_framed = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING]
            .iter()
            .any(|name| parts.headers.contains_key(name));
        parts.version < http::Version::HTTP_2 && !is_framed && !self.is_end_stream()
    }

    /// Drops the body, and closes its connection if that carries only one request at a time.
    pub(crate) fn retire(self) {
        if let Self::Connection(_, lease) = self {
            lease.retire();
        }
    }

    pub(crate) fn poll_frame(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, web::Fault>>> {
        match self {
            Self::Memory(body) | Self::Connection(body, _) => {
                pin::Pin::new(body).poll_frame(context)
            }
            Self::Chained(bytes, rest) => match bytes.pop_front() {
                Some(bytes) => task::Poll::Ready(Some(Ok(http_body::Frame::data(bytes)))),
                None => rest.poll_frame(context),
            },
        }
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        match self {
            Self::Memory(body) | Self::Connection(body, _) => body.is_end_stream(),
            Self::Chained(bytes, rest) => bytes.is_empty() && rest.is_end_stream(),
        }
    }

    pub(crate) fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Memory(body) | Self::Connection(body, _) => body.size_hint(),
            Self::Chained(..) => http_body::SizeHint::default(),
        }
    }
}
