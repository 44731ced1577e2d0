//! Stream that tells how much its client takes, and that resets an answer whose end its close would be.

use std::io;
use std::pin;
use std::rc;
use std::task;

use compio::net;
use hyper::rt;

use super::Client;
use crate::unframed::{self, Ending};

/// Stream of a connection that tells how much its client takes.
pub(crate) struct Metered<S> {
    stream: S,
    /// The socket of the stream.
    socket: net::TcpStream,
    client: rc::Rc<Client>,
    /// Whether the end of the process or of this stream resets the connection.
    is_resetting: bool,
}

impl<S> Metered<S> {
    /// Maximum number of bytes of one write, as the stream keeps as many until the socket takes them.
    const WRITE_BYTES: usize = 16 * 1024;

    pub(crate) fn new(stream: S, socket: net::TcpStream, client: rc::Rc<Client>) -> Self {
        Self {
            stream,
            socket,
            client,
            is_resetting: false,
        }
    }

    pub(crate) fn client(&self) -> &rc::Rc<Client> {
        &self.client
    }
}

impl<S: rt::Read + Unpin> rt::Read for Metered<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: rt::Write + Unpin> rt::Write for Metered<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        if self.client.ending() == Ending::Open && !self.is_resetting {
            unframed::reset_on_close(&self.socket);
            self.is_resetting = true;
        }
        let bytes = &bytes[..bytes.len().min(Self::WRITE_BYTES)];
        let written = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.client.set_blocked(written.is_pending());
        if let task::Poll::Ready(Ok(count)) = written {
            self.client.take(count);
        }
        written
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let first = slices.iter().find(|slice| !slice.is_empty());
        self.poll_write(context, first.map_or(&[], |slice| slice))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let flushed = pin::Pin::new(&mut self.stream).poll_flush(context);
        match &flushed {
            task::Poll::Pending => self.client.set_blocked(true),
            task::Poll::Ready(_) => self.client.flush(),
        }
        flushed
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        match self.client.ending() {
            // The end that a shutdown sends would be that of the answer.
            Ending::Open => return task::Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            Ending::Whole if self.is_resetting => {
                task::ready!(self.as_mut().poll_flush(context))?;
                unframed::end_on_close(&self.socket);
                self.is_resetting = false;
            }
            _ => {}
        }
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
