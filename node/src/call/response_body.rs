//! Response body on its way to the requester.

use std::pin;
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
pub struct ResponseBody<W: BodyObserver> {
    source: Source,
    observer: Option<W>,
    deadline: time::Instant,
    timer: Option<Timer>,
}

impl<W: BodyObserver> ResponseBody<W> {
    /// Creates a body from `source` that has to be complete by `deadline`.
    #[must_use]
    pub fn new(source: Source, observer: Option<W>, deadline: time::Instant) -> Self {
        let mut body = Self {
            source,
            observer,
            deadline,
            timer: None,
        };
        if body.source.is_end_stream() {
            body.end(BodyEnd::Complete);
        }
        body
    }

    /// Creates a body in memory without an observer.
    #[must_use]
    pub fn memory(bytes: Bytes) -> Self {
        Self::new(Source::memory(bytes), None, time::Instant::now())
    }

    /// Separates the rest of the body from its observer.
    #[must_use]
    pub fn into_parts(mut self) -> (Source, Option<W>) {
        let source = std::mem::replace(&mut self.source, Source::memory(Bytes::new()));
        (source, self.observer.take())
    }

    fn end(&mut self, ended: BodyEnd) {
        self.timer = None;
        if let Some(observer) = self.observer.take() {
            observer.end(ended);
        }
    }

    fn poll_timer(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        if self.observer.is_none() {
            return task::Poll::Pending;
        }
        let deadline = self.deadline;
        let timer = self.timer.get_or_insert_with(|| Timer::new(deadline));
        timer.poll(context)
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
        let polled = match body.source.poll_frame(context) {
            task::Poll::Ready(polled) => polled,
            task::Poll::Pending => {
                task::ready!(body.poll_timer(context));
                Some(Err(web::Fault::Cut))
            }
        };
        match &polled {
            None => body.end(BodyEnd::Complete),
            Some(Err(_)) => body.end(BodyEnd::Truncated),
            Some(Ok(_)) if body.source.is_end_stream() => body.end(BodyEnd::Complete),
            Some(Ok(_)) => {}
        }
        task::Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        self.source.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.source.size_hint()
    }
}

impl<W: BodyObserver> Drop for ResponseBody<W> {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}
