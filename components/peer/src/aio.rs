//! Adapter from NNG asynchronous operations to futures.

use std::sync;
use std::time;

use futures_channel::oneshot;

type Slot = sync::Arc<sync::Mutex<Option<oneshot::Sender<nng::AioResult>>>>;

/// NNG asynchronous I/O handle that runs one operation at a time; its callback, on an NNG thread, wakes the
/// awaiting task.
///
/// Handles are reused, because NNG must not free a handle while its callback runs, and waiting for the
/// callback would block the runtime.
pub(crate) struct AioHandle {
    aio: nng::Aio,
    slot: Slot,
}

impl AioHandle {
    /// Allocates a handle.
    pub(crate) fn new() -> nng::Result<Self> {
        let slot: Slot = sync::Arc::default();
        let callback_slot = slot.clone();
        let aio = nng::Aio::new(move |_, result| complete(&callback_slot, result))?;
        Ok(Self { aio, slot })
    }

    /// Sends `message`; NNG aborts the operation after `timeout`.
    pub(crate) async fn send(
        &self,
        context: &nng::Context,
        message: nng::Message,
        timeout: time::Duration,
    ) -> nng::Result<()> {
        self.aio.set_timeout(Some(timeout))?;
        let receiver = self.register_waiter();
        context
            .send(&self.aio, message)
            .map_err(|(_, error)| error)?;
        match receiver.await {
            Ok(nng::AioResult::Send(sent)) => sent.map_err(|(_, error)| error),
            _ => Err(nng::Error::Canceled),
        }
    }

    /// Receives a message; NNG aborts the operation after `timeout`, `None` waits indefinitely.
    pub(crate) async fn receive(
        &self,
        context: &nng::Context,
        timeout: Option<time::Duration>,
    ) -> nng::Result<nng::Message> {
        self.aio.set_timeout(timeout)?;
        let receiver = self.register_waiter();
        context.recv(&self.aio)?;
        match receiver.await {
            Ok(nng::AioResult::Recv(received)) => received,
            _ => Err(nng::Error::Canceled),
        }
    }

    fn register_waiter(&self) -> oneshot::Receiver<nng::AioResult> {
        let (sender, receiver) = oneshot::channel();
        *lock(&self.slot) = Some(sender);
        receiver
    }
}

impl Drop for AioHandle {
    fn drop(&mut self) {
        // The callback must not drop the last reference: NNG would wait for its own callback and deadlock.
        self.aio.cancel();
        self.aio.wait();
    }
}

fn complete(slot: &Slot, result: nng::AioResult) {
    let sender = lock(slot).take();
    if let Some(sender) = sender {
        // The receiving task no longer exists during process shutdown.
        let _ = sender.send(result);
    }
}

/// Locks the slot and ignores poisoning: a panic cannot leave the plain `Option` inconsistent.
fn lock(slot: &Slot) -> sync::MutexGuard<'_, Option<oneshot::Sender<nng::AioResult>>> {
    slot.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
