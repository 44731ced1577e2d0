//! Crashes of the backend server beside this node.

use std::time;

use admission::{Announced, Crash};

use super::Owner;
use crate::call::Dialect;

/// A crash that is not certain: the backend server may only have lost a connection.
#[derive(Clone)]
pub(super) struct Accused {
    crash: Crash,
    at: time::Instant,
    /// Answers that it had given before.
    answered: u64,
}

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Time after a crash for which an announcement of the same start may be from before it.
    const CRASH_SETTLES: time::Duration = time::Duration::from_millis(300);

    /// Withdraws a crash when the backend server has answered since and still announces the same start.
    ///
    /// The announcement alone may be from before the crash, and late.
    pub(super) fn settle_crash(&self, announced: &Announced, now: time::Instant) {
        let Some(accused) = self.shared.accused.borrow().clone() else {
            return;
        };
        if announced.backend.instance != accused.crash.instance {
            self.shared.accused.replace(None);
            return;
        }
        let settled = now.saturating_duration_since(accused.at) >= Self::CRASH_SETTLES;
        if settled && self.counts().answered > accused.answered {
            self.shared.accused.replace(None);
            self.shared
                .sharing
                .withdraw(&accused.crash, || self.others());
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
        self.shared.accused.replace(Some(Accused {
            crash: crash.clone(),
            at: now,
            answered: self.counts().answered,
        }));
        self.shared
            .sharing
            .accuse(fingerprint, &crash, now, || self.others());
    }
}
