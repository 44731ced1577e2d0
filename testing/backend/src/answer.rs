//! Bodies of answers, which the caller can check by itself.

use std::pin;
use std::task;
use std::time;

use bytes::Bytes;
use rand::{RngCore, SeedableRng, rngs};
use xxhash_rust::xxh3;

/// Bytes that a body hands over at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// A body of `length` bytes that depends on the call's id alone.
#[must_use]
pub fn fill(call: &str, length: usize) -> Bytes {
    let mut bytes = vec![0; length];
    rngs::StdRng::seed_from_u64(sum(call.as_bytes())).fill_bytes(&mut bytes);
    bytes.into()
}

/// Digest of `bytes`.
#[must_use]
pub fn sum(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Time between the last byte of a broken body and its end.
const BREAK_PAUSE: time::Duration = time::Duration::from_millis(5);

/// Why a body breaks off.
#[derive(Debug, thiserror::Error)]
#[error("the backend server breaks its answer off")]
pub struct Broken;

/// A body in chunks that may break off before its end.
pub struct Body {
    rest: Bytes,
    /// Bytes of `rest` that are still sent; the body breaks off after them.
    allowed: usize,
    /// Lets the sent part reach the caller before the body breaks off.
    pause: pin::Pin<Box<dyn Future<Output = ()>>>,
}

impl Body {
    /// A body that is sent whole.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        let allowed = bytes.len();
        Self::new(bytes, allowed)
    }

    /// A body that breaks off half way.
    pub(crate) fn half(bytes: Bytes) -> Self {
        let allowed = bytes.len() / 2;
        Self::new(bytes, allowed)
    }

    fn new(rest: Bytes, allowed: usize) -> Self {
        let pause = Box::pin(async { compio::time::sleep(BREAK_PAUSE).await });
        Self {
            rest,
            allowed,
            pause,
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, Broken>>> {
        if self.rest.is_empty() {
            return task::Poll::Ready(None);
        }
        if self.allowed == 0 {
            task::ready!(self.pause.as_mut().poll(context));
            return task::Poll::Ready(Some(Err(Broken)));
        }
        let length = self.allowed.min(CHUNK_BYTES);
        self.allowed -= length;
        let chunk = self.rest.split_to(length);
        task::Poll::Ready(Some(Ok(http_body::Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(self.rest.len() as u64)
    }
}
