//! Signal that asks a task to stop.

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future;

/// Tells whether a stop was requested; clones observe the same request.
#[derive(Clone)]
pub struct Stop {
    receiver: future::Shared<oneshot::Receiver<()>>,
}

/// Requests the stop; dropping it requests it too.
pub struct Trigger {
    sender: oneshot::Sender<()>,
}

/// Creates a stop signal and its trigger.
#[must_use]
pub fn stop() -> (Trigger, Stop) {
    let (sender, receiver) = oneshot::channel();
    let receiver = receiver.shared();
    (Trigger { sender }, Stop { receiver })
}

impl Stop {
    /// Waits until the stop is requested.
    pub async fn requested(&self) {
        let _ = self.receiver.clone().await;
    }

    /// Whether the stop is requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.receiver.clone().now_or_never().is_some()
    }

    /// Runs `work` until it ends or the stop is requested; `None` in the second case.
    pub async fn guard<F: Future>(&self, work: F) -> Option<F::Output> {
        let work = std::pin::pin!(work);
        let requested = std::pin::pin!(self.requested());
        match future::select(work, requested).await {
            future::Either::Left((output, _)) => Some(output),
            future::Either::Right(_) => None,
        }
    }

    /// Waits for `period`; `false` when the stop is requested by then.
    pub async fn sleep(&self, period: std::time::Duration) -> bool {
        let slept = self.guard(compio::time::sleep(period)).await;
        slept.is_some() && !self.is_requested()
    }
}

impl Trigger {
    /// Requests the stop.
    pub fn fire(self) {
        let _ = self.sender.send(());
    }
}
