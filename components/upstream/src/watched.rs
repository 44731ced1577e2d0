//! Stream that remembers when it last received bytes.

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

/// TCP stream that remembers when it last received bytes.
pub(crate) struct Watched {
    inner: HyperStream<net::TcpStream>,
    last_read: rc::Rc<cell::Cell<time::Instant>>,
    /// Told of the first bytes.
    first: Option<oneshot::Sender<()>>,
}

impl Watched {
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
        };
        (watched, receiver)
    }
}

impl rt::Read for Watched {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let polled = pin::Pin::new(&mut self.inner).poll_read(context, buffer);
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
