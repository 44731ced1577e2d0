//! Hands requests to the services that they name.

use std::time;

use crate::Incoming;

/// Mailboxes of the services that take requests from other nodes, sorted by name.
#[derive(Clone, Default)]
pub struct Router {
    entries: Vec<(&'static str, kernel::Mailbox<Incoming>)>,
}

impl Router {
    /// Wait that a sender is told when the service is behind.
    const BUSY_WAIT: time::Duration = time::Duration::from_millis(200);

    /// Hands requests for `name` to `mailbox` from now on.
    ///
    /// # Errors
    /// [`kernel::Error::Duplicate`] when the name is taken.
    pub fn register(
        &mut self,
        name: &'static str,
        mailbox: kernel::Mailbox<Incoming>,
    ) -> Result<(), kernel::Error> {
        match self.entries.binary_search_by_key(&name, |entry| entry.0) {
            Ok(_) => Err(kernel::Error::Duplicate(name)),
            Err(place) => {
                self.entries.insert(place, (name, mailbox));
                Ok(())
            }
        }
    }

    /// The registered name that equals `service`.
    #[must_use]
    pub fn name(&self, service: &str) -> Option<&'static str> {
        let place = self.entries.binary_search_by(|entry| entry.0.cmp(service));
        place.ok().map(|place| self.entries[place].0)
    }

    /// Hands `incoming` to `service`; the sender learns at once when that cannot be done.
    pub fn route(&self, service: &str, incoming: Incoming) {
        let place = self.entries.binary_search_by(|entry| entry.0.cmp(service));
        let Ok(place) = place else {
            incoming.answer.invalid();
            return;
        };
        if let Err((_, refused)) = self.entries[place].1.offer(incoming) {
            refused.answer.busy(Self::BUSY_WAIT);
        }
    }
}
