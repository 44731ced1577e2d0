//! Stream of an in-memory server connection.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;

use hyper::rt;

use super::outbox::Outbox;

/// Stream of an in-memory server connection, with one request to read; clones share the state.
#[derive(Clone)]
pub(crate) struct Memory {
    state: rc::Rc<cell::RefCell<State>>,
}

struct State {
    request: Vec<u8>,
    taken: usize,
    answer: Vec<u8>,
    /// Whether the writer has written all that it had.
    is_flushed: bool,
    /// Waker of the writer, for when the response has been taken.
    writer: Option<task::Waker>,
}

impl Memory {
    /// Maximum number of bytes of a response that wait to be written to the client.
    const AHEAD: usize = 32 * 1024;

    pub(crate) fn new(request: Vec<u8>) -> Self {
        let state = State {
            request,
            taken: 0,
            answer: Vec::new(),
            is_flushed: false,
            writer: None,
        };
        Self {
            state: rc::Rc::new(cell::RefCell::new(state)),
        }
    }

    /// Whether the writer has written all that it had; otherwise it holds bytes of its own.
    pub(crate) fn is_flushed(&self) -> bool {
        self.state.borrow().is_flushed
    }

    /// Moves the written bytes to `to`; returns whether there were any.
    pub(crate) fn take_answer(&self, to: &mut Outbox) -> bool {
        let mut state = self.state.borrow_mut();
        if state.answer.is_empty() {
            return false;
        }
        to.append(&mut state.answer);
        if let Some(writer) = state.writer.take() {
            writer.wake();
        }
        true
    }
}

impl rt::Read for Memory {
    /// No bytes follow the request, and the stream does not end, as its end would cancel the
    /// request.
    fn poll_read(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
        mut buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let mut state = self.state.borrow_mut();
        let left = state.request.len() - state.taken;
        if left == 0 {
            return task::Poll::Pending;
        }
        let count = left.min(buffer.remaining());
        let taken = state.taken;
        buffer.put_slice(&state.request[taken..taken + count]);
        state.taken += count;
        task::Poll::Ready(Ok(()))
    }
}

impl rt::Write for Memory {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let mut state = self.state.borrow_mut();
        state.is_flushed = false;
        let count = bytes.len().min(Self::AHEAD - state.answer.len());
        if count == 0 && !bytes.is_empty() {
            state.writer = Some(context.waker().clone());
            return task::Poll::Pending;
        }
        state.answer.extend_from_slice(&bytes[..count]);
        task::Poll::Ready(Ok(count))
    }

    /// hyper keeps the parts of an answer as they are then, and copies none of them into a buffer of its own.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let mut written = 0;
        for slice in slices {
            match self.as_mut().poll_write(context, slice) {
                task::Poll::Ready(count) => written += count?,
                task::Poll::Pending if written == 0 => return task::Poll::Pending,
                task::Poll::Pending => break,
            }
        }
        task::Poll::Ready(Ok(written))
    }

    /// hyper flushes the stream only once its own buffer is empty.
    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.state.borrow_mut().is_flushed = true;
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(Ok(()))
    }
}
