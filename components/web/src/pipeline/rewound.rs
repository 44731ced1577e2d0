//! Stream that first returns bytes already read from it.

use std::io;
use std::pin;
use std::task;

use hyper::rt;

/// Stream that first returns bytes already read from it.
pub(crate) struct Rewound<S> {
    read: Vec<u8>,
    taken: usize,
    stream: S,
}

impl<S> Rewound<S> {
    /// Creates a stream that returns `read` before the bytes of `stream`.
    pub(crate) fn new(read: Vec<u8>, stream: S) -> Self {
        let taken = 0;
        Self {
            read,
            taken,
            stream,
        }
    }
}

impl<S: rt::Read + Unpin> rt::Read for Rewound<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        mut buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let left = self.read.len() - self.taken;
        if left == 0 {
            return pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let count = left.min(buffer.remaining());
        let taken = self.taken;
        buffer.put_slice(&self.read[taken..taken + count]);
        self.taken += count;
        if count == left {
            self.read = Vec::new();
            self.taken = 0;
        }
        task::Poll::Ready(Ok(()))
    }
}

impl<S: rt::Write + Unpin> rt::Write for Rewound<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
