//! Applies the orders in the store.

use std::rc;
use std::time;

use platform::{Follow, Object, Revision, Store};

use super::service::Shared;
use super::trial::Trial;
use super::{NAME, Order, Phase, Recorder, Source};

/// Applies the orders that the follower reads.
pub(super) struct Orders<S, L, O> {
    shared: rc::Rc<Shared<S, L, O>>,
}

impl<S, L, O> Orders<S, L, O> {
    pub(super) fn new(shared: rc::Rc<Shared<S, L, O>>) -> Self {
        Self { shared }
    }
}

impl<S: Store, L: peer::Link, O: Source> Follow for Orders<S, L, O> {
    const NAME: &'static str = NAME;

    fn prefix(&self) -> &str {
        O::PREFIX
    }

    fn take(&self, objects: Vec<Object>) {
        for object in &objects {
            self.shared.apply_object(object);
        }
    }

    fn listed(&self) {
        let listed_at = &self.shared.listed_at;
        listed_at.set(listed_at.get().or_else(|| Some(time::Instant::now())));
    }
}

impl<S: Store, L: peer::Link, O: Source> Shared<S, L, O> {
    fn apply_object(&self, object: &Object) {
        let Some(order) = self.parts.source.order(&object.value) else {
            log::warn!(key:% = object.key; "skipping an order that cannot be decoded");
            return;
        };
        let mut trials = self.recorder.trials.borrow_mut();
        match Recorder::position(&trials, &order.service) {
            Ok(index) if trials[index].revision >= object.revision => {}
            Ok(index) if trials[index].order.is_same(&order) => {
                self.apply_status(&mut trials[index], &order, object.revision);
            }
            Ok(index) if trials[index].is_restored(&order, object.revision) => {
                self.apply_restored(&mut trials[index], &order, object);
            }
            index => {
                log::info!(service = order.service.as_str(), version = order.version.as_str(),
                    phase:? = order.phase; "move ordered");
                self.start(&order);
                let mut trial = Trial::new(order, object.key.clone(), object.revision);
                match index {
                    Ok(index) => {
                        trial.follow(&trials[index]);
                        trials[index] = trial;
                    }
                    Err(index) => trials.insert(index, trial),
                }
            }
        }
    }

    /// Applies the status of an order at `revision` to its trial.
    ///
    /// An end stays: a store that came back from a copy may show the state before it.
    fn apply_status(&self, trial: &mut Trial, order: &Order, revision: Revision) {
        trial.revision = revision;
        if trial.order.phase.is_end() && !order.phase.is_end() {
            trial.is_end_lost = true;
            return;
        }
        let has_ended = !trial.order.phase.is_end() && order.phase.is_end();
        trial.order.phase = order.phase;
        trial.is_end_lost = false;
        if has_ended {
            self.apply_end(&trial.order);
        }
    }

    /// Applies an order that a store in a new era shows beside the one that this node knows: the same one,
    /// written again, or an earlier one.
    fn apply_restored(&self, trial: &mut Trial, order: &Order, object: &Object) {
        log::info!(event = "order-restored", service = order.service.as_str(),
            version = order.version.as_str(), phase:? = order.phase, known = trial.order.version.as_str();
            "the store shows an order again in a new era");
        if order.version == trial.order.version {
            trial.order.made = order.made;
            trial.key = object.key.clone();
            self.apply_status(trial, order, object.revision);
        }
    }

    fn start(&self, order: &Order) {
        if order.phase.is_end() {
            return self.apply_end(order);
        }
        self.parts.withheld.remove(&order.service, &order.version);
        let trial = routing::Trial {
            version: order.version.clone(),
            share: 0.0,
        };
        self.parts.splits.set_trial(&order.service, Some(trial));
    }

    /// Applies the end of a move that the store holds.
    pub(super) fn apply_end(&self, order: &Order) {
        log::info!(service = order.service.as_str(), version = order.version.as_str(),
            phase:? = order.phase; "move ended");
        if order.phase == Phase::Done {
            self.parts.withheld.remove(&order.service, &order.version);
            self.parts.splits.establish(&order.service, &order.version);
        } else {
            self.withhold(order);
        }
    }

    pub(super) fn withhold(&self, order: &Order) {
        self.parts.withheld.add(&order.service, &order.version);
        self.parts.splits.set_trial(&order.service, None);
    }
}
