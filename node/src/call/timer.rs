//! Timer for bodies that are still being received.

use std::pin;
use std::task;
use std::time;

use futures_channel::oneshot;
use futures_util::future;

/// Timer that fires at a deadline; a task of its own keeps the time, and ends with the timer.
pub(crate) struct Timer {
    receiver: oneshot::Receiver<()>,
}

impl Timer {
    pub(crate) fn new(deadline: time::Instant) -> Self {
        let (mut sender, receiver) = oneshot::channel();
        compio::runtime::spawn(async move {
            let passed = pin::pin!(compio::time::sleep_until(deadline));
            let dropped = sender.cancellation();
            if let future::Either::Left(_) = future::select(passed, dropped).await {
                let _ = sender.send(());
            }
        })
        .detach();
        Self { receiver }
    }

    /// Completes when the deadline has passed.
    pub(crate) fn poll(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let receiver = pin::Pin::new(&mut self.receiver);
        receiver.poll(context).map(|_| ())
    }
}
