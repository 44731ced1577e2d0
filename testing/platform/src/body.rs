//! Body of an answer, or none at all.

use std::io;
use std::pin;
use std::task;

use bytes::Bytes;
use http_body_util::Full;

/// Body of an answer.
pub(crate) enum Body {
    /// Whole in memory.
    Full(Full<Bytes>),
    /// Breaks the connection off in place of an answer.
    Broken,
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(full) => {
                let frame = task::ready!(pin::Pin::new(full).poll_frame(context));
                task::Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Broken => {
                let error = io::Error::from(io::ErrorKind::ConnectionReset);
                task::Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Broken => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Broken => http_body::SizeHint::with_exact(1),
        }
    }
}
