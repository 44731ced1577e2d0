//! Crashes of the backend server beside this node.

use std::time;

use admission::{Announced, Crash};

use super::Owner;
use crate::call::Dialect;

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Time after a crash for which an announcement of the same start may be from before it.
    const CRASH_SETTLES: time::Duration = time::Duration::from_millis(300);

    /// Withdraws a crash when the backend server still announces the same start.
    pub(super) fn settle_crash(&self, announced: &Announced, now: time::Instant) {
        let crashed = self.shared.crashed.borrow().clone();
        let Some((crash, at)) = crashed else {
            return;
        };
        if announced.backend.instance != crash.instance {
            self.shared.crashed.replace(None);
        } else if now.saturating_duration_since(at) >= Self::CRASH_SETTLES {
            self.shared.crashed.replace(None);
            self.shared.sharing.withdraw(&crash, || self.others());
        }
    }

    /// The connection broke with the request on it: the backend server has probably crashed.
    pub(super) fn accuse(&self, fingerprint: u64, instance: u64, alone: bool) {
        let now = time::Instant::now();
        let crash = Crash {
            node: self.shared.context.node.clone(),
            instance,
            alone,
        };
        self.count(|counts| counts.crashed += 1);
        self.shared.crashed.replace(Some((crash.clone(), now)));
        self.shared
            .sharing
            .accuse(fingerprint, &crash, now, || self.others());
    }
}
