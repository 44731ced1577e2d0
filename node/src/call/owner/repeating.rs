//! Repeats at the backend server beside this node.

use std::time;

use super::Owner;
use crate::call::{Dialect, Envelope, Problem, Reason};

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Refuses a repeat that the service does not bear.
    pub(super) fn check_repeat(&self, envelope: &Envelope) -> Result<(), Problem> {
        if !envelope.repeat.resent || self.shared.context.settings.baseline {
            return Ok(());
        }
        let owners = u32::try_from(self.others().len() + 1).unwrap_or(u32::MAX);
        if self.shared.repeats.allows(owners, time::Instant::now()) {
            return Ok(());
        }
        self.count(|counts| counts.over_budget += 1);
        let reason = Reason::Refused(admission::Reason::BudgetSpent);
        Err(Problem::later(reason))
    }

    /// Writes what arrived at the backend server in the window before `now`, where repeats did.
    pub(super) fn tell_arrivals(&self, now: time::Instant) {
        let sum = self.shared.repeats.sum(now);
        if sum.repeats() <= 0.0 {
            return;
        }
        let Some(announced) = self.shared.gate.announced() else {
            return;
        };
        log::info!(event = "arrivals", service = announced.backend.service.as_str(),
            first = sum.first, resent = sum.resent, called_again = sum.called_again(),
            limit = self.shared.repeats.limit(now);
            "requests at the backend server in the window of the retry budget");
    }
}
