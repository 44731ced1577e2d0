//! Handles commands of the other services of this node.

use std::rc;
use std::time;

use futures_channel::oneshot;

use crate::shared::Shared;

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Handles commands until the service stops.
    pub(crate) async fn run_commands(
        self: rc::Rc<Self>,
        mut inbox: kernel::Inbox<crate::Command>,
        stop: kernel::Stop,
    ) {
        while let Some(Some(command)) = stop.guard(inbox.receive()).await {
            match command {
                crate::Command::Announce { backend, answer } => {
                    // The receiver may have been dropped.
                    let _ = answer.send(self.announce(backend));
                }
                crate::Command::Drain { done } => self.drain(done),
            }
        }
    }

    fn drain(&self, done: oneshot::Sender<()>) {
        self.draining.set(true);
        let mut table = self.table.borrow_mut();
        if table.own().backend.is_some() {
            table.update_own(|own| {
                if let Some(backend) = &mut own.backend
                    && backend.phase != crate::Phase::Draining
                {
                    backend.phase = crate::Phase::Stopping;
                }
            });
        }
        let since = time::Instant::now();
        let drain = crate::shared::Drain { since, done };
        self.drains.borrow_mut().push(drain);
    }
}
