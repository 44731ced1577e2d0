//! What the backend server says of itself with its answers.

use std::time;

use admission::{Announced, Change, Statement};
use futures_channel::mpsc;
use membership::Phase;

use super::Owner;
use crate::call::{Dialect, Need, Problem, Reason};

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Takes what the start `instance` of the backend server says with its answer to `request`, which was
    /// sent at `sent`.
    pub(super) fn hear(
        &self,
        instance: u64,
        statement: Statement,
        request: &str,
        sent: time::Instant,
    ) {
        let change = self.shared.gate.hear(instance, statement.rate, sent);
        self.tell_change(change, instance, request);
        if statement.leaving && self.depart(instance) {
            self.count(|counts| counts.leaving_heard += 1);
            log::info!(event = "leaving-heard", request = request, instance = instance;
                "the backend server says in an answer that it leaves");
        }
    }

    /// The start `instance` of the backend server leaves, whatever it announces; returns whether that is
    /// news.
    pub fn depart(&self, instance: u64) -> bool {
        let is_news = self.shared.leaving.replace(Some(instance)) != Some(instance);
        if is_news {
            self.leave();
        }
        is_news
    }

    /// The backend server gets nothing new from now on.
    fn leave(&self) {
        let announced = self.shared.gate.announced();
        if let Some(announced) = announced.map(|announced| self.revise(announced)) {
            self.shared.gate.announce(Some(&announced));
        }
        let departures = self.shared.departures.borrow();
        // Nobody listens where no desk runs.
        if let Some(Err(error)) = departures.as_ref().map(|to| to.unbounded_send(())) {
            log::debug!(error:% = error; "the departure is not passed on");
        }
    }

    /// What counts of an announcement: a backend server that has said in an answer that it leaves is not
    /// ready any more.
    #[must_use]
    pub fn revise(&self, announced: Announced) -> Announced {
        let mut announced = announced;
        if self.shared.leaving.get() == Some(announced.backend.instance) {
            announced.backend.phase = Phase::Draining;
        }
        announced
    }

    /// Tells each time that the backend server has said in an answer that it leaves; only the latest one
    /// who asks is told.
    #[must_use]
    pub fn departures(&self) -> mpsc::UnboundedReceiver<()> {
        let (sender, receiver) = mpsc::unbounded();
        self.shared.departures.replace(Some(sender));
        receiver
    }

    /// What an ingress is told with an answer, or with the `refusal` in its place, where the backend
    /// server is in need. A refusal for the rate has promised a turn already.
    pub(crate) fn need(&self, refusal: Option<&Problem>) -> Option<Need> {
        let gate = &self.shared.gate;
        let instance = gate.instance()?;
        let limited = Reason::Refused(admission::Reason::Limited);
        let promised = refusal.filter(|refusal| refusal.reason.is(limited));
        let promised = promised.and_then(|refusal| refusal.retry_after);
        let need = Need {
            instance,
            rate: gate.rate(),
            turn: promised.or_else(|| gate.promise()).unwrap_or_default(),
            leaving: self.shared.leaving.get() == Some(instance),
        };
        (need.rate.is_some() || need.leaving).then_some(need)
    }

    /// Takes what an ingress knows of the backend server, until that has answered itself.
    pub(super) fn learn(&self, need: &Need) {
        let Some(rate) = need.rate else {
            return;
        };
        if self.shared.gate.learn(need.instance, rate) {
            log::info!(event = "rate-learnt", instance = need.instance, rate = rate.0;
                "another node knows how many requests a second the backend server takes");
        }
    }

    fn tell_change(&self, change: Change, instance: u64, request: &str) {
        match change {
            Change::None => {}
            Change::Named { rate, before } => {
                self.count(|counts| counts.rates_named += 1);
                log::info!(event = "rate-named", request = request, instance = instance,
                    rate = rate.0, before = before.map_or(0.0, |before| before.0);
                    "the backend server names how many requests a second it takes");
            }
            Change::Lifted { before } => {
                log::info!(event = "rate-lifted", request = request, instance = instance,
                    before = before.0;
                    "the backend server no longer names how many requests a second it takes");
            }
            Change::Unreadable { kept } => {
                self.count(|counts| counts.rates_unreadable += 1);
                log::warn!(event = "rate-unreadable", request = request, instance = instance,
                    kept = kept.map_or(0.0, |kept| kept.0);
                    "the rate that the backend server names cannot be read");
            }
        }
    }

    /// Writes what arrived under the rate that the backend server has named.
    pub(super) fn tell_usage(&self) {
        let Some(usage) = self.shared.gate.usage() else {
            return;
        };
        log::info!(event = "limited-arrivals", rate = usage.rate.0, arrived = usage.arrived,
            window_ms = units::millis(admission::Pace::WINDOW), age_ms = units::millis(usage.age);
            "requests at the backend server under the rate that it has named");
    }
}
