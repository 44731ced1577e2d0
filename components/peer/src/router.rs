//! Dispatch of received requests to services.

use std::time;

use crate::Incoming;

/// Mailboxes of the services that accept requests from other nodes, sorted by name.
#[derive(Clone, Default)]
pub struct Router {
    entries: Vec<(&'static str, kernel::Mailbox<Incoming>)>,
}

impl Router {
    /// Retry delay sent to the sender when the mailbox of the service is full.
    const BUSY_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

    /// Registers `mailbox` as the destination of requests for `name`.
    ///
    /// # Errors
    /// [`kernel::Error::Duplicate`] if the name is already registered.
    pub fn register(
        &mut self,
        name: &'static str,
        mailbox: kernel::Mailbox<Incoming>,
    ) -> Result<(), kernel::Error> {
        match self.entries.binary_search_by_key(&name, |entry| entry.0) {
            Ok(_) => Err(kernel::Error::Duplicate(name)),
            Err(index) => {
                self.entries.insert(index, (name, mailbox));
                Ok(())
            }
        }
    }

    /// Registered name that equals `service`.
    #[must_use]
    pub fn registered_name(&self, service: &str) -> Option<&'static str> {
        let index = self.entries.binary_search_by(|entry| entry.0.cmp(service));
        index.ok().map(|index| self.entries[index].0)
    }

    /// Delivers `incoming` to `service`; if delivery fails, the sender receives an error reply at once.
    pub fn route(&self, service: &str, incoming: Incoming) {
        let index = self.entries.binary_search_by(|entry| entry.0.cmp(service));
        let Ok(index) = index else {
            incoming.answer.invalid();
            return;
        };
        if let Err((_, rejected)) = self.entries[index].1.offer(incoming) {
            rejected.answer.busy(Self::BUSY_RETRY_AFTER);
        }
    }
}
