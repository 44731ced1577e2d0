//! Regular work of the request path.

use std::pin;
use std::time;

use futures_util::future;
use kernel::{Inbox, Stop};
use peer::Incoming;
use routing::Observer;

use super::Ingress;

/// Keeps the ingress up to date, and takes notices of other owners.
pub struct Upkeep<L, O> {
    ingress: Ingress<L, O>,
    inbox: Inbox<Incoming>,
}

impl<L: peer::Link, O: Observer> Upkeep<L, O> {
    const INTERVAL: time::Duration = time::Duration::from_secs(1);

    /// Upkeep of `ingress`; `inbox` is that of the service [`admission::SERVICE`].
    #[must_use]
    pub fn new(ingress: Ingress<L, O>, inbox: Inbox<Incoming>) -> Self {
        Self { ingress, inbox }
    }

    /// Takes notices until the next upkeep is due; `false` once no more can come.
    async fn take_notices(&mut self) -> bool {
        let mut due = pin::pin!(compio::time::sleep(Self::INTERVAL));
        loop {
            let received = pin::pin!(self.inbox.receive());
            match future::select(due.as_mut(), received).await {
                future::Either::Left(_) => return true,
                future::Either::Right((None, _)) => return false,
                future::Either::Right((Some(notice), _)) => {
                    let sharing = self.ingress.owner().sharing();
                    sharing.take(notice, time::Instant::now());
                }
            }
        }
    }
}

impl<L: peer::Link, O: Observer> kernel::Service for Upkeep<L, O> {
    const NAME: &'static str = "call";

    async fn run(mut self, stop: Stop) {
        loop {
            match stop.guard(self.take_notices()).await {
                Some(true) => self.ingress.maintain(time::Instant::now()),
                Some(false) => {
                    // Without notices the upkeep goes on.
                    self.ingress.maintain(time::Instant::now());
                    if !stop.sleep(Self::INTERVAL).await {
                        return;
                    }
                }
                None => return,
            }
        }
    }
}
