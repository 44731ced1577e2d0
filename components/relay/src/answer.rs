//! Answers of the store and of other nodes as evidence that the state of this node is complete.

use std::rc;
use std::time;

use platform::Store;

use crate::Evidence;
use crate::shared::Shared;

/// Latest answer of the store to a watch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Answered {
    /// None so far.
    #[default]
    Never,
    /// The feed contains all changes up to this time.
    At(time::Instant),
    /// A call has failed since.
    Failed,
}

impl<S: Store, L: peer::Link> Shared<S, L> {
    pub(crate) fn record_message(&self) {
        let mut freshness = self.freshness.borrow_mut();
        freshness.record_message(time::Instant::now());
    }

    /// Records that the state of this node contains all changes up to the time of `evidence`.
    pub(crate) fn record_evidence(&self, evidence: Option<Evidence>) {
        if let Some(evidence) = evidence {
            self.freshness.borrow_mut().record(evidence);
            let complete_at = units::Uptime::now().checked_sub(evidence.at.elapsed());
            self.certainty
                .record_complete(complete_at.unwrap_or_default());
        }
    }

    /// The newest evidence that the state of this node is complete.
    pub(crate) fn evidence(&self) -> Option<Evidence> {
        self.freshness.borrow().newest()
    }

    /// Records and reports an answer of the store to a watch of this node, once all its watches have one.
    pub(crate) fn record_answer(self: &rc::Rc<Self>) {
        let Some(at) = self.answered_at() else {
            return;
        };
        let place = self.place();
        self.record_evidence(Some(Evidence { at, place }));
        let (shared, recorded_at) = (self.clone(), time::Instant::now());
        // Runs after the objects in the answer have been taken.
        compio::runtime::spawn(async move { shared.report_evidence(recorded_at) }).detach();
    }

    /// Latest time at which the answers of the store made all feeds complete; `None` if a watch has failed.
    ///
    /// Only the watches with a schedule tell the time, if there are any: the others wait for longer.
    fn answered_at(&self) -> Option<time::Instant> {
        let is_any_scheduled = self.topics.iter().any(|topic| topic.wait.is_none());
        let mut oldest: Option<time::Instant> = None;
        for (watch, topic) in self.watches.borrow().iter().zip(&self.topics) {
            let Answered::At(at) = watch.answered.get() else {
                return None;
            };
            if topic.wait.is_none() || !is_any_scheduled {
                oldest = Some(oldest.map_or(at, |oldest| oldest.min(at)));
            }
        }
        oldest
    }

    /// Whether this node watches the store, and the store answers.
    pub(crate) fn is_reading(&self) -> bool {
        self.answered_at().is_some()
    }

    /// Time since the state of this node was last known to be complete.
    pub(crate) fn age(&self) -> time::Duration {
        self.freshness.borrow().age(time::Instant::now())
    }
}
