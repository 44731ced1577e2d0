//! Timer for bodies that are not complete.

use std::pin;
use std::time;

use futures_channel::oneshot;
use futures_util::future;

/// Timer that acts at a deadline; a task of its own keeps the time, and ends with the timer.
pub(crate) struct Timer {
    _sender: oneshot::Sender<()>,
}

impl Timer {
    /// Starts a timer that calls `act` at `deadline`, unless it is dropped before.
    pub(crate) fn start(deadline: time::Instant, act: impl FnOnce() + 'static) -> Self {
        let (sender, dropped) = oneshot::channel();
        compio::runtime::spawn(async move {
            let passed = pin::pin!(compio::time::sleep_until(deadline));
            if let future::Either::Left(_) = future::select(passed, dropped).await {
                act();
            }
        })
        .detach();
        Self { _sender: sender }
    }
}
