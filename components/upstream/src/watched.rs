//! Stream that remembers when it last received bytes.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;
use std::time;

use compio::net;
use cyper_core::HyperStream;
use hyper::rt;

/// TCP stream that remembers when it last received bytes.
pub(crate) struct Watched {
    inner: HyperStream<net::TcpStream>,
    last_read: rc::Rc<cell::Cell<time::Instant>>,
}

impl Watched {
    /// Watches `stream`; `last_read` is set at each read.
    pub(crate) fn new(
        stream: net::TcpStream,
        last_read: rc::Rc<cell::Cell<time::Instant>>,
    ) -> Self {
        let inner = HyperStream::new_plain(stream);
        Self { inner, last_read }
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
