//! Times hyper's connections by compio's clock.

use std::pin;
use std::task;
use std::time;

use cyper_core::CompioTimer;
use hyper::rt;

/// Times hyper's connections by compio's clock.
///
/// hyper polls a sleep again after it has completed, which compio's futures do not allow.
#[derive(Debug, Clone, Copy, Default)]
pub struct Timer;

/// A sleep that stays ready once it has completed.
struct Pause {
    /// `None` once completed.
    sleep: Option<pin::Pin<Box<dyn rt::Sleep>>>,
}

impl Pause {
    fn boxed(sleep: pin::Pin<Box<dyn rt::Sleep>>) -> pin::Pin<Box<dyn rt::Sleep>> {
        Box::pin(Self { sleep: Some(sleep) })
    }
}

impl rt::Timer for Timer {
    fn sleep(&self, duration: time::Duration) -> pin::Pin<Box<dyn rt::Sleep>> {
        Pause::boxed(CompioTimer.sleep(duration))
    }

    fn sleep_until(&self, deadline: time::Instant) -> pin::Pin<Box<dyn rt::Sleep>> {
        Pause::boxed(CompioTimer.sleep_until(deadline))
    }
}

impl rt::Sleep for Pause {}

impl Future for Pause {
    type Output = ();

    fn poll(mut self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> task::Poll<()> {
        if let Some(sleep) = &mut self.sleep {
            task::ready!(sleep.as_mut().poll(context));
            self.sleep = None;
        }
        task::Poll::Ready(())
    }
}
