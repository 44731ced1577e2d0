//! Stream that remembers when it last received bytes, and bounds the heads of answers.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;
use std::time;

use compio::net;
use cyper_core::HyperStream;
use futures_channel::oneshot;
use hyper::rt;

use crate::head::Head;

/// TCP stream that remembers when it last received bytes.
///
/// A server that sends without end would keep its reader in one poll for good: after some reads in a
/// row other tasks have their turn.
pub(crate) struct Watched {
    inner: HyperStream<net::TcpStream>,
    last_read: rc::Rc<cell::Cell<time::Instant>>,
    /// Told of the first bytes.
    first: Option<oneshot::Sender<()>>,
    /// Bounds the heads of answers, on HTTP/1.1.
    head: Head,
    /// Reads since the last one that found nothing, or since others had their turn.
    reads: u32,
}

impl Watched {
    /// Reads in a row after which other tasks have their turn.
    const READS: u32 = 16;
    /// Bytes of one read while a head is awaited.
    const HEAD_READ_BYTES: usize = 4 * 1024;

    /// Watches `stream`; `last_read` is set at each read, and the receiver ends with the first one.
    pub(crate) fn new(
        stream: net::TcpStream,
        last_read: rc::Rc<cell::Cell<time::Instant>>,
    ) -> (Self, oneshot::Receiver<()>) {
        let inner = HyperStream::new_plain(stream);
        let (sender, receiver) = oneshot::channel();
        let watched = Self {
            inner,
            last_read,
            first: Some(sender),
            head: Head::default(),
            reads: 0,
        };
        (watched, receiver)
    }

    /// Watches `stream` and bounds what comes while `head` awaits an answer.
    pub(crate) fn bounded(stream: net::TcpStream, head: Head) -> Self {
        let last_read = rc::Rc::new(cell::Cell::new(time::Instant::now()));
        let (watched, _) = Self::new(stream, last_read);
        Self { head, ..watched }
    }

    fn poll_head(
        &mut self,
        context: &mut task::Context<'_>,
        mut buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let mut bytes = [std::mem::MaybeUninit::uninit(); Self::HEAD_READ_BYTES];
        let most = buffer.remaining().min(Self::HEAD_READ_BYTES);
        let mut read = rt::ReadBuf::uninit(&mut bytes[..most]);
        let inner = pin::Pin::new(&mut self.inner);
        task::ready!(rt::Read::poll_read(inner, context, read.unfilled()))?;
        self.head.take(read.filled().len())?;
        buffer.put_slice(read.filled());
        task::Poll::Ready(Ok(()))
    }
}

impl rt::Read for Watched {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.reads >= Self::READS {
            self.reads = 0;
            context.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        let polled = if self.head.is_awaited() {
            self.poll_head(context, buffer)
        } else {
            pin::Pin::new(&mut self.inner).poll_read(context, buffer)
        };
        self.reads = if polled.is_ready() { self.reads + 1 } else { 0 };
        if polled.is_ready() {
            self.last_read.set(time::Instant::now());
            if let Some(first) = self.first.take() {
                let _ = first.send(());
            }
        }
        polled
    }
}

impl rt::Write for Watched {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        rt::Write::poll_write(pin::Pin::new(&mut self.inner), context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        rt::Write::poll_write_vectored(pin::Pin::new(&mut self.inner), context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        rt::Write::is_write_vectored(&self.inner)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        rt::Write::poll_flush(pin::Pin::new(&mut self.inner), context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        rt::Write::poll_shutdown(pin::Pin::new(&mut self.inner), context)
    }
}
