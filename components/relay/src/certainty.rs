//! How certain a node is that the configuration in force is the newest one.

use std::cell;
use std::rc;
use std::time;

use platform::Revision;
use units::Uptime;

use crate::Proof;

/// How certain a node is that the configuration in force is the newest one; clones share their state.
///
/// The default is that of a node that is not asked to know: it is always certain.
#[derive(Debug, Clone, Default)]
pub struct Certainty {
    state: Option<rc::Rc<cell::RefCell<State>>>,
}

#[derive(Debug)]
struct State {
    limits: Limits,
    proof: Proof,
    /// Newest head of the feed.
    head: Option<Revision>,
    /// Latest time at which the feed counted as complete, by any message.
    complete_at: Option<Uptime>,
}

units::record! { eq:
    /// Ages up to which a configuration counts.
    #[derive(Copy)]
    pub struct Limits {
        /// Age up to which a key may be refused for good.
        pub current: time::Duration,
        /// Time after which a withdrawn key must not work; zero if nodes out of touch need not know.
        pub revocation: time::Duration,
    }
}

impl Limits {
    /// Part of the time that a proof is used for; the rest covers clocks of different speeds.
    const USED_PART: f64 = 0.9;

    /// Age of a proof up to which keys are accepted.
    #[must_use]
    pub fn proof(&self) -> time::Duration {
        self.revocation.mul_f64(Self::USED_PART)
    }

    /// Whether a proof of this age is enough to accept a key.
    #[must_use]
    pub fn allows(&self, age: Option<time::Duration>) -> bool {
        self.revocation.is_zero() || age.is_some_and(|age| age < self.proof())
    }
}

impl Certainty {
    /// Certainty of a node that has no proof yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let state = State {
            limits,
            proof: Proof::default(),
            head: None,
            complete_at: None,
        };
        Self {
            state: Some(rc::Rc::new(cell::RefCell::new(state))),
        }
    }

    /// Whether a key that was withdrawn too long ago to be accepted would be known here.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        let Some(state) = &self.state else {
            return true;
        };
        let state = state.borrow();
        state.limits.allows(state.proof.age(Uptime::now()))
    }

    /// Whether a key that was added some time ago would be known here, so that an unknown one may be
    /// refused for good.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let Some(state) = &self.state else {
            return true;
        };
        let state = state.borrow();
        let age = state
            .complete_at
            .map(|at| Uptime::now().saturating_since(at));
        let is_applied = state.head.is_some_and(|head| state.proof.is_applied(head));
        is_applied && age.is_some_and(|age| age <= state.limits.current)
    }

    /// Time since the configuration in force was proven to be complete; `None` if it never was, or
    /// nothing asks for a proof.
    #[must_use]
    pub fn age(&self) -> Option<time::Duration> {
        let state = self.state.as_ref()?.borrow();
        state.proof.age(Uptime::now())
    }

    /// Whether nodes have to prove how complete their configuration is.
    pub(crate) fn is_asked_for(&self) -> bool {
        let state = self.state.as_ref().map(|state| state.borrow());
        state.is_some_and(|state| !state.limits.revocation.is_zero())
    }

    /// Time since the feed was proven to be complete.
    pub(crate) fn feed_age(&self) -> Option<time::Duration> {
        let state = self.state.as_ref()?.borrow();
        state.proof.feed_age(Uptime::now())
    }

    /// Records that the feed with this `head` contains everything acknowledged before `at`.
    pub(crate) fn record(&self, at: Uptime, head: Revision) {
        if self.is_asked_for() {
            self.change(|state| state.proof.record(at, head));
        }
    }

    /// Records that the feed counts as complete up to `at`, by a message of any kind.
    pub(crate) fn record_complete(&self, at: Uptime) {
        self.change(|state| state.complete_at = state.complete_at.max(Some(at)));
    }

    /// Records that the feed has got the changes up to `head`.
    pub(crate) fn record_head(&self, head: Option<Revision>) {
        self.change(|state| state.head = state.head.max(head));
    }

    /// Records that the changes of the feed up to `revision` are in force.
    pub(crate) fn apply(&self, revision: Revision) {
        self.change(|state| state.proof.apply(revision));
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        if let Some(state) = &self.state {
            change(&mut state.borrow_mut());
        }
    }
}
