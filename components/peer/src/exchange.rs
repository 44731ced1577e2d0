//! One asynchronous operation of NNG at a time, awaited by a task of the runtime.

use std::sync;
use std::time;

use futures_channel::oneshot;

type Slot = sync::Arc<sync::Mutex<Option<oneshot::Sender<nng::AioResult>>>>;

/// An NNG operation handle whose callback, on a thread of NNG, wakes the awaiting task.
///
/// Handles are reused: NNG must not free a handle while its callback runs, and waiting for the
/// callback would block the runtime.
pub(crate) struct Exchange {
    aio: nng::Aio,
    slot: Slot,
}

impl Exchange {
    /// Allocates a handle.
    pub(crate) fn new() -> nng::Result<Self> {
        let slot: Slot = sync::Arc::default();
        let waiting = slot.clone();
        let aio = nng::Aio::new(move |_, result| complete(&waiting, result))?;
        Ok(Self { aio, slot })
    }

    /// Sends `message`; NNG ends the operation after `timeout`.
    pub(crate) async fn send(
        &self,
        context: &nng::Context,
        message: nng::Message,
        timeout: time::Duration,
    ) -> nng::Result<()> {
        self.aio.set_timeout(Some(timeout))?;
        let receiver = self.expect();
        context
            .send(&self.aio, message)
            .map_err(|(_, error)| error)?;
        match receiver.await {
            Ok(nng::AioResult::Send(sent)) => sent.map_err(|(_, error)| error),
            _ => Err(nng::Error::Canceled),
        }
    }

    /// Receives a message; NNG ends the operation after `timeout`, `None` waits without a limit.
    pub(crate) async fn receive(
        &self,
        context: &nng::Context,
        timeout: Option<time::Duration>,
    ) -> nng::Result<nng::Message> {
        self.aio.set_timeout(timeout)?;
        let receiver = self.expect();
        context.recv(&self.aio)?;
        match receiver.await {
            Ok(nng::AioResult::Recv(received)) => received,
            _ => Err(nng::Error::Canceled),
        }
    }

    fn expect(&self) -> oneshot::Receiver<nng::AioResult> {
        let (sender, receiver) = oneshot::channel();
        *lock(&self.slot) = Some(sender);
        receiver
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // The last reference must not be dropped by the callback: NNG would wait for itself.
        self.aio.cancel();
        self.aio.wait();
    }
}

fn complete(slot: &Slot, result: nng::AioResult) {
    let waiting = lock(slot).take();
    if let Some(waiting) = waiting {
        // The task is gone when the process stops.
        let _ = waiting.send(result);
    }
}

/// The slot holds a plain option, so that it is usable also after a panic elsewhere.
fn lock(slot: &Slot) -> sync::MutexGuard<'_, Option<oneshot::Sender<nng::AioResult>>> {
    slot.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
