//! Repeated requests at the backend server beside this node.

use std::time;

use super::Owner;
use crate::call::{Dialect, Envelope, Problem, Reason};

/// Number of owners of the service in one membership view.
#[derive(Clone, Copy)]
pub(super) struct OwnerCount {
    generation: u64,
    owners: u32,
}

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Refuses a repeated request that exceeds the retry budget of the service.
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
        Err(Problem::retryable(reason))
    }

    /// Logs the arrivals at the backend server in the window before `now`, if there were repeated
    /// requests.
    pub(super) fn log_arrivals(&self, now: time::Instant) {
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
            "arrivals at the backend server in the retry budget window");
    }

    /// Returns the number of owners of the service, including this one; counted once per membership
    /// view.
    fn owners(&self) -> u32 {
        let generation = self.shared.context.members.get().generation();
        if let Some(count) = self.shared.owners.get()
            && count.generation == generation
        {
            return count.owners;
        }
        let owners = u32::try_from(self.other_owners().len() + 1).unwrap_or(u32::MAX);
        let count = OwnerCount { generation, owners };
        self.shared.owners.set(Some(count));
        owners
    }
}
