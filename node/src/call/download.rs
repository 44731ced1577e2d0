//! Body of an answer on its way to whoever asked.

use std::pin;
use std::task;
use std::time;

use bytes::Bytes;

use super::Source;
use super::timer::Timer;

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It came whole.
    Whole,
    /// It broke off, or its deadline passed.
    Broken,
    /// Whoever asked for it went away.
    Dropped,
}

/// Learns how a body ended, once.
pub trait Watch: Unpin + 'static {
    /// The body ended.
    fn end(self, ended: Ended);
}

/// Body of an answer on its way to whoever asked; a body that broke off ends with an error.
pub struct Download<W: Watch> {
    source: Source,
    watch: Option<W>,
    deadline: time::Instant,
    timer: Option<Timer>,
}

impl<W: Watch> Download<W> {
    /// A body from `source` that has to be whole by `deadline`.
    #[must_use]
    pub fn new(source: Source, watch: Option<W>, deadline: time::Instant) -> Self {
        let mut download = Self {
            source,
            watch,
            deadline,
            timer: None,
        };
        if download.source.is_end_stream() {
            download.end(Ended::Whole);
        }
        download
    }

    /// A body in memory that nobody watches.
    #[must_use]
    pub fn memory(bytes: Bytes) -> Self {
        Self::new(Source::memory(bytes), None, time::Instant::now())
    }

    /// Takes the rest of the body apart from who watches it.
    #[must_use]
    pub fn into_parts(mut self) -> (Source, Option<W>) {
        let source = std::mem::replace(&mut self.source, Source::memory(Bytes::new()));
        (source, self.watch.take())
    }

    fn end(&mut self, ended: Ended) {
        self.timer = None;
        if let Some(watch) = self.watch.take() {
            watch.end(ended);
        }
    }

    fn poll_timer(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        if self.watch.is_none() {
            return task::Poll::Pending;
        }
        let deadline = self.deadline;
        let timer = self.timer.get_or_insert_with(|| Timer::new(deadline));
        timer.poll(context)
    }
}

impl<W: Watch> http_body::Body for Download<W> {
    type Data = Bytes;
    type Error = web::Fault;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, web::Fault>>> {
        let download = self.get_mut();
        let polled = match download.source.poll_frame(context) {
            task::Poll::Ready(polled) => polled,
            task::Poll::Pending => {
                task::ready!(download.poll_timer(context));
                Some(Err(web::Fault::Cut))
            }
        };
        match &polled {
            None => download.end(Ended::Whole),
            Some(Err(_)) => download.end(Ended::Broken),
            Some(Ok(_)) if download.source.is_end_stream() => download.end(Ended::Whole),
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

impl<W: Watch> Drop for Download<W> {
    fn drop(&mut self) {
        self.end(Ended::Dropped);
    }
}
