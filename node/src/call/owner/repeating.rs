//! Repeats at the backend server beside this node.

use std::time;

use super::Owner;
use crate::call::{Dialect, Envelope, Problem, Reason};

/// Owners of the service as one view of the members shows them.
#[derive(Clone, Copy)]
pub(super) struct Counted {
    generation: u64,
    owners: u32,
}

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Refuses a repeat that the service does not bear.
    pub(super) fn check_repeat(&self, envelope: &Envelope) -> Result<(), Problem> {
        if !envelope.repeat.resent || self.shared.context.settings.baseline {
            return Ok(());
        }
        let now = time::Instant::now();
        if self.shared.repeats.allows(self.owners(), now) {
            return Ok(());
        }
        self.count(|counts| counts.over_budget += 1);
        let reason = Reason::Refused(admission::Reason::BudgetSpent);
        Err(Problem::later(reason))
    }

    /// Writes what arrived at the backend server in the window before `now`, where repeats did.
    pub(super) fn tell_arrivals(&self, now: time::Instant) {
        let Some(announced) = self.shared.gate.announced() else {
            return;
        };
        let owners = self.owners();
        let budget = self.shared.repeats.budget(owners, now);
        let sum = budget.arrived;
        if sum.repeats() <= 0.0 {
            return;
        }
        log::info!(event = "arrivals", service = announced.backend.service.as_str(),
            first = sum.first, resent = sum.resent, called_again = sum.called_again(),
            limit = budget.limit, owners = owners;
            "requests at the backend server in the window of the retry budget");
    }

    /// Number of owners of the service, this one included; counted once for each view.
    fn owners(&self) -> u32 {
        let generation = self.shared.context.members.get().generation();
        if let Some(counted) = self.shared.owners.get()
            && counted.generation == generation
        {
            return counted.owners;
        }
        let owners = u32::try_from(self.others().len() + 1).unwrap_or(u32::MAX);
        let counted = Counted { generation, owners };
        self.shared.owners.set(Some(counted));
        owners
    }
}
