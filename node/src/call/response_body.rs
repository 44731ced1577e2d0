//! Response body on its way to the requester.

use std::cell;
use std::pin;
use std::rc;
use std::task;
use std::time;

use bytes::Bytes;

use super::Source;
use super::timer::Timer;

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body was complete.
    Complete,
    /// The body was truncated, or its deadline passed.
    Truncated,
    /// The requester went away.
    Dropped,
}

/// Observer that is notified once of the end of a body.
pub trait BodyObserver: Unpin + 'static {
    /// Notifies the observer of the end of the body.
    fn end(self, ended: BodyEnd);
}

/// Response body on its way to the requester; a truncated body ends with an error.
///
/// The body is truncated at its deadline also while nobody asks for its next part, so that a requester
/// that does not read holds no backend server.
pub struct ResponseBody<W: BodyObserver> {
    held: rc::Rc<cell::RefCell<Held<W>>>,
    deadline: time::Instant,
    timer: Option<Timer>,
}

struct Held<W> {
    /// `None` once the body was truncated at its deadline.
    source: Option<Source>,
    observer: Option<W>,
    /// Waker of the one that waits for the next part.
    waiting: Option<task::Waker>,
}

impl<W: BodyObserver> ResponseBody<W> {
    /// Creates a body from `source` that has to be complete by `deadline`.
    #[must_use]
    pub fn new(source: Source, observer: Option<W>, deadline: time::Instant) -> Self {
        let is_ended = source.is_end_stream();
        let mut held = Held {
            source: Some(source),
            observer,
            waiting: None,
        };
        if is_ended {
            held.end(BodyEnd::Complete);
        }
        Self {
            held: rc::Rc::new(cell::RefCell::new(held)),
            deadline,
            timer: None,
        }
    }

    /// Creates a body in memory without an observer.
    #[must_use]
    pub fn memory(bytes: Bytes) -> Self {
        Self::new(Source::memory(bytes), None, time::Instant::now())
    }

    /// Separates the rest of the body from its observer.
    #[must_use]
    pub fn into_parts(self) -> (Source, Option<W>) {
        let mut held = self.held.borrow_mut();
        let source = held.source.take();
        let source = source.unwrap_or_else(|| Source::memory(Bytes::new()));
        (source, held.observer.take())
    }

    /// Truncates the body at its deadline, whether or not its next part is asked for.
    fn start_timer(&mut self) {
        if self.timer.is_some() || self.held.borrow().observer.is_none() {
            return;
        }
        let held = rc::Rc::downgrade(&self.held);
        self.timer = Some(Timer::start(self.deadline, move || {
            if let Some(held) = held.upgrade() {
                held.borrow_mut().truncate();
            }
        }));
    }
}

impl<W: BodyObserver> Held<W> {
    fn end(&mut self, ended: BodyEnd) {
        if let Some(observer) = self.observer.take() {
            observer.end(ended);
        }
    }

    fn truncate(&mut self) {
        if self.observer.is_none() {
            return;
        }
        self.source = None;
        self.end(BodyEnd::Truncated);
        if let Some(waiting) = self.waiting.take() {
            waiting.wake();
        }
    }

    fn poll_frame(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, web::Fault>>> {
        let Some(source) = &mut self.source else {
            return task::Poll::Ready(Some(Err(web::Fault::Cut)));
        };
        let task::Poll::Ready(polled) = source.poll_frame(context) else {
            self.waiting = Some(context.waker().clone());
            return task::Poll::Pending;
        };
        match &polled {
            None => self.end(BodyEnd::Complete),
            Some(Err(_)) => self.end(BodyEnd::Truncated),
            Some(Ok(_)) if source.is_end_stream() => self.end(BodyEnd::Complete),
            Some(Ok(_)) => {}
        }
        task::Poll::Ready(polled)
    }
}

impl<W: BodyObserver> http_body::Body for ResponseBody<W> {
    type Data = Bytes;
    type Error = web::Fault;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, web::Fault>>> {
        let body = self.get_mut();
        let polled = body.held.borrow_mut().poll_frame(context);
        if body.held.borrow().observer.is_some() {
            body.start_timer();
        } else {
            body.timer = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let held = self.held.borrow();
        held.source.as_ref().is_some_and(Source::is_end_stream)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let held = self.held.borrow();
        held.source
            .as_ref()
            .map(Source::size_hint)
            .unwrap_or_default()
    }
}

impl<W: BodyObserver> Drop for ResponseBody<W> {
    fn drop(&mut self) {
        self.held.borrow_mut().end(BodyEnd::Dropped);
    }
}
