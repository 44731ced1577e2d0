//! Status that the backend server reports in its responses.

use std::time;

use admission::{Announced, Change, Signals};
use futures_channel::mpsc;
use membership::Phase;

use super::Owner;
use crate::call::{BackendStatus, Dialect, Problem, Reason};

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Applies the signals of `instance` of the backend server in its response to `request`,
    /// which was sent at `sent`.
    pub(super) fn apply_signals(
        &self,
        instance: u64,
        signals: Signals,
        request: &str,
        sent: time::Instant,
    ) {
        let change = self.shared.gate.observe_rate(instance, signals.rate, sent);
        self.log_rate_change(change, instance, request);
        if signals.leaving && self.mark_leaving(instance) {
            self.count(|counts| counts.leaving_heard += 1);
            log::info!(event = "leaving-heard", request = request, instance = instance;
                "backend server announced in a response that it is leaving");
        }
    }

    /// Marks `instance` of the backend server as leaving, whatever it announces; returns whether it
    /// was not marked before.
    pub fn mark_leaving(&self, instance: u64) -> bool {
        let is_new = self.shared.leaving.replace(Some(instance)) != Some(instance);
        if is_new {
            self.stop_new_requests();
        }
        is_new
    }

    /// Stops sending new requests to the backend server.
    fn stop_new_requests(&self) {
        let announced = self.shared.gate.announced();
        if let Some(announced) = announced.map(|announced| self.apply_leaving(announced)) {
            self.shared.gate.announce(Some(&announced));
        }
        let departures = self.shared.departures.borrow();
        // There is no receiver if no announcement registry runs.
        if let Some(Err(error)) = departures.as_ref().map(|to| to.unbounded_send(())) {
            log::debug!(error:% = error; "failed to forward the departure of the backend server");
        }
    }

    /// Corrects an announcement: a backend server that has reported in a response that it is
    /// leaving is no longer ready.
    #[must_use]
    pub fn apply_leaving(&self, announced: Announced) -> Announced {
        let mut announced = announced;
        if self.shared.leaving.get() == Some(announced.backend.instance) {
            announced.backend.phase = Phase::Draining;
        }
        announced
    }

    /// Returns a channel that receives a message each time the backend server reports in a response
    /// that it is leaving. Only the receiver of the latest call gets messages.
    #[must_use]
    pub fn departures(&self) -> mpsc::UnboundedReceiver<()> {
        let (sender, receiver) = mpsc::unbounded();
        self.shared.departures.replace(Some(sender));
        receiver
    }

    /// Returns the status to send to an ingress with a response, or with the `refusal` in its
    /// place, if the backend server limits its rate or is leaving. A refusal because of the rate
    /// limit already contains a turn.
    pub(crate) fn backend_status(&self, refusal: Option<&Problem>) -> Option<BackendStatus> {
        let gate = &self.shared.gate;
        let instance = gate.instance()?;
        let limited = Reason::Refused(admission::Reason::Limited);
        let promised = refusal.filter(|refusal| refusal.reason.is(limited));
        let promised = promised.and_then(|refusal| refusal.retry_after);
        let backend_status = BackendStatus {
            instance,
            rate: gate.rate(),
            turn: promised.or_else(|| gate.reserve_turn()).unwrap_or_default(),
            leaving: self.shared.leaving.get() == Some(instance),
        };
        let is_told = backend_status.rate.is_some() || backend_status.leaving || gate.is_cold();
        is_told.then_some(backend_status)
    }

    /// Applies the rate limit known to an ingress, until the backend server has responded itself.
    pub(super) fn apply_known_rate(&self, backend_status: &BackendStatus) {
        let Some(rate) = backend_status.rate else {
            return;
        };
        if self.shared.gate.adopt_rate(backend_status.instance, rate) {
            log::info!(event = "rate-learnt", instance = backend_status.instance, rate = rate.0;
                "another node reported the rate limit of the backend server");
        }
    }

    fn log_rate_change(&self, change: Change, instance: u64, request: &str) {
        match change {
            Change::None => {}
            Change::Set { rate, before } => {
                self.count(|counts| counts.rates_named += 1);
                log::info!(event = "rate-named", request = request, instance = instance,
                    rate = rate.0, before = before.map_or(0.0, |before| before.0);
                    "backend server announced a rate limit");
            }
            Change::Lifted { before } => {
                log::info!(event = "rate-lifted", request = request, instance = instance,
                    before = before.0;
                    "backend server no longer announces a rate limit");
            }
            Change::Unreadable { kept } => {
                self.count(|counts| counts.rates_unreadable += 1);
                log::warn!(event = "rate-unreadable", request = request, instance = instance,
                    kept = kept.map_or(0.0, |kept| kept.0);
                    "rate limit announced by the backend server cannot be parsed");
            }
        }
    }

    /// Logs the arrivals under the rate limit that the backend server has announced.
    pub(super) fn log_rate_usage(&self) {
        let Some(usage) = self.shared.gate.usage() else {
            return;
        };
        log::info!(event = "limited-arrivals", rate = usage.rate.0, arrived = usage.arrived,
            window_ms = units::millis(admission::RateLimiter::WINDOW), age_ms = units::millis(usage.age);
            "arrivals at the backend server under its rate limit");
    }
}
