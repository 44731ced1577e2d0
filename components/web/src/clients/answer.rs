//! Body of an answer, charged to its client.

use std::ops;
use std::pin;
use std::task;

use bytes::Bytes;

use super::Client;
use crate::unframed::Ending;

/// Body of an answer, charged to its client.
pub(crate) struct Answer<B, C: ops::Deref<Target = Client>> {
    body: B,
    /// The client, or a request of it that is in progress for as long as the body lives.
    client: C,
    /// Bytes charged for what is still to come.
    ahead: u64,
    /// Bytes that were passed on.
    passed: u64,
    has_ended: bool,
    /// Whether the end of the body is the close of the connection.
    is_unframed: bool,
}

impl<B, C> Answer<B, C>
where
    B: http_body::Body<Data = Bytes>,
    C: ops::Deref<Target = Client>,
{
    /// Bytes of an answer that may arrive before they are asked for, as much as a stream between nodes has room
    /// for.
    const AHEAD_BYTES: u64 = 256 * 1024;

    pub(crate) fn new(body: B, client: C) -> Self {
        let mut answer = Self {
            body,
            client,
            ahead: 0,
            passed: 0,
            has_ended: false,
            is_unframed: false,
        };
        answer.charge();
        answer
    }

    /// As [`Answer::new`], where the end of the body is the close of the connection, which has no other answer.
    pub(crate) fn new_unframed(body: B, client: C) -> Self {
        client.set_ending(Ending::Open);
        let mut answer = Self::new(body, client);
        answer.is_unframed = true;
        if answer.body.is_end_stream() {
            answer.client.set_ending(Ending::Whole);
        }
        answer
    }

    /// Charges the client with what may have arrived and was not asked for yet.
    fn charge(&mut self) {
        let left = self.body.size_hint().upper().unwrap_or(Self::AHEAD_BYTES);
        let left = if self.body.is_end_stream() { 0 } else { left };
        let ahead = left.min(Self::AHEAD_BYTES);
        let client = &*self.client;
        if ahead > self.ahead {
            client.hold(ahead - self.ahead);
        } else {
            client.release(self.ahead - ahead);
        }
        self.ahead = ahead;
    }
}

impl<B, C> http_body::Body for Answer<B, C>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    C: ops::Deref<Target = Client> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, B::Error>>> {
        let polled = task::ready!(pin::Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &polled {
            let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
            self.passed += bytes;
            self.client.offer(bytes);
        }
        self.has_ended = polled.is_none() || self.body.is_end_stream();
        let has_failed = matches!(polled, Some(Err(_)));
        if self.is_unframed && self.has_ended && !has_failed {
            self.client.set_ending(Ending::Whole);
        }
        self.charge();
        task::Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

impl<B, C: ops::Deref<Target = Client>> Drop for Answer<B, C> {
    fn drop(&mut self) {
        let client = &*self.client;
        client.release(self.ahead);
        if !self.has_ended {
            // A cancelled stream drops the bytes that its answer had passed on, so that nobody will take them.
            client.withdraw(self.passed);
        }
    }
}
