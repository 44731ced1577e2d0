//! Applies the orders in the store.

use std::rc;
use std::time;

use platform::{Follow, Object, Store};

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
            Ok(index) if trials[index].order.is_same(&order) => {
                let trial = &mut trials[index];
                if object.revision <= trial.revision {
                    return;
                }
                trial.revision = object.revision;
                let has_ended = !trial.order.phase.is_end() && order.phase.is_end();
                trial.order.phase = order.phase;
                if has_ended {
                    self.apply_end(&trial.order);
                }
            }
            Ok(index) if trials[index].revision >= object.revision => {}
            index => {
                log::info!(service = order.service.as_str(), version = order.version.as_str(),
                    phase:? = order.phase; "move ordered");
                self.start(&order);
                let trial = Trial::new(order, object.key.clone(), object.revision);
                match index {
                    Ok(index) => trials[index] = trial,
                    Err(index) => trials.insert(index, trial),
                }
            }
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
