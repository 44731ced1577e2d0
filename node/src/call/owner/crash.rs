//! Crashes of the backend server beside this node.

use std::time;

use admission::{Announced, Crash};

use super::Owner;
use crate::call::Dialect;

/// An unconfirmed crash: the backend server may only have lost a connection.
#[derive(Clone)]
pub(super) struct SuspectedCrash {
    crash: Crash,
    at: time::Instant,
    /// Number of responses given before the crash.
    answered: u64,
}

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Time after a crash for which an announcement of the same instance may predate the crash.
    const STALE_ANNOUNCEMENT_LIMIT: time::Duration = admission::Warmup::STALE_ANNOUNCEMENT_LIMIT;

    /// Withdraws a crash if the backend server has responded since and still announces the same
    /// instance.
    ///
    /// The announcement alone does not suffice: it may have been sent before the crash and arrive
    /// late.
    pub(super) fn withdraw_false_crash(&self, announced: &Announced, now: time::Instant) {
        let Some(suspected_crash) = self.shared.suspected_crash.borrow().clone() else {
            return;
        };
        if announced.backend.instance != suspected_crash.crash.instance {
            self.shared.suspected_crash.replace(None);
            return;
        }
        let is_current =
            now.saturating_duration_since(suspected_crash.at) >= Self::STALE_ANNOUNCEMENT_LIMIT;
        if is_current && self.counts().answered > suspected_crash.answered {
            self.shared.suspected_crash.replace(None);
            self.shared
                .shared_suspects
                .withdraw(&suspected_crash.crash, || self.other_owners());
        }
    }

    /// Records that the connection broke with the request in flight, so that the backend server has
    /// probably crashed.
    pub(super) fn report_crash(&self, fingerprint: u64, instance: u64, alone: bool) {
        let now = time::Instant::now();
        let crash = Crash {
            node: self.shared.context.node.clone(),
            instance,
            alone,
        };
        self.count(|counts| counts.crashed += 1);
        self.shared.suspected_crash.replace(Some(SuspectedCrash {
            crash: crash.clone(),
            at: now,
            answered: self.counts().answered,
        }));
        self.shared
            .shared_suspects
            .add_suspect(fingerprint, &crash, now, || self.other_owners());
    }
}
