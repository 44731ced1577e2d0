//! Warm-up of the backend server beside this node.

use std::time;

use admission::Announced;

use super::Owner;
use crate::call::Dialect;

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Applies what an announcement of the start `instance` says of its warm-up.
    pub fn hear_warmup(&self, instance: u64, left: Option<time::Duration>) {
        let was_cold = self.shared.gate.is_cold();
        self.shared.gate.hear_warmup(instance, left);
        self.log_warmup(was_cold, "announced");
    }

    /// Begins or ends the evacuation of the data centre of this node.
    pub fn set_evacuated(&self, evacuated: bool) {
        self.shared.gate.set_evacuated(evacuated);
    }

    /// Records that the backend server may have restarted: until it announces itself, it counts as cold.
    pub(super) fn suspect_restart(&self) {
        let was_cold = self.shared.gate.is_cold();
        self.shared.gate.suspect_restart();
        self.log_warmup(was_cold, "restart suspected");
    }

    /// Gives the rate of a warm-up to the gate, as the configuration in force has it for `announced`.
    pub(super) fn configure_warmup(&self, announced: Option<&Announced>) {
        let Some(announced) = announced else {
            return;
        };
        let snapshot = self.shared.context.holder.get();
        self.shared.warmup_version.set(snapshot.version());
        let service = snapshot.service(&announced.backend.service);
        let (rate, period) = service.map_or_else(Default::default, |service| {
            (service.warmup_rate, service.warmup.0)
        });
        self.shared.gate.configure_warmup(rate, period);
    }

    /// Applies a change of the configuration before a request is admitted.
    pub(super) fn refresh_warmup(&self) {
        let version = self.shared.context.holder.get().version();
        if self.shared.warmup_version.get() != version {
            self.configure_warmup(self.shared.gate.announced().as_ref());
        }
    }

    fn log_warmup(&self, was_cold: bool, cause: &str) {
        let is_cold = self.shared.gate.is_cold();
        if is_cold == was_cold {
            return;
        }
        self.count(|counts| counts.warmups += u64::from(is_cold));
        let event = if is_cold {
            "warmup-began"
        } else {
            "warmup-ended"
        };
        log::info!(event = event, cause = cause;
            "the rate limit of a warm-up of the backend server has changed");
    }
}
