//! Handles announcements of the backend server beside this node.

use std::time;

use crate::shared::Shared;
use crate::{AnnounceReply, Backend, Phase};

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Number of announcements expected within one lease.
    const ANNOUNCEMENTS_PER_LEASE: u32 = 3;

    /// Stores an announcement and extends the lease.
    pub(crate) fn announce(&self, mut backend: Backend) -> AnnounceReply {
        let leaving = self.table.borrow().leaving_instance() == Some(backend.instance);
        if leaving {
            backend.phase = Phase::Draining;
        } else if self.draining.get() && backend.phase != Phase::Draining {
            backend.phase = Phase::Stopping;
        }
        let now = time::Instant::now();
        self.lease_end.set(Some(now + self.settings.lease.0));
        let mut table = self.table.borrow_mut();
        let unchanged = table.own().backend.as_ref() == Some(&backend);
        if !unchanged {
            table.update_own(|own| own.backend = Some(backend));
        }
        AnnounceReply {
            next_due: self.settings.lease.0 / Self::ANNOUNCEMENTS_PER_LEASE,
            leaving,
        }
    }
}
