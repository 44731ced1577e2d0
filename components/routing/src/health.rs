//! What passive results say about a backend server.

use std::time;

use crate::Policy;

/// What the last results of a backend server say about it.
///
/// Nothing that it announces about itself enters here: announced health may lag or lie.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Option<time::Instant>,
    /// A single request tries it out after an ejection, until this time at the latest.
    probe_until: Option<time::Instant>,
}

/// Whether a backend server may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Open,
    /// One request may try it out.
    Probe,
    /// It may not.
    Ejected,
}

impl Health {
    /// Whether it may get a request.
    #[must_use]
    pub fn verdict(&self, now: time::Instant) -> Verdict {
        match (self.ejected_until, self.probe_until) {
            (None, _) => Verdict::Open,
            (Some(until), _) if now < until => Verdict::Ejected,
            (Some(_), Some(probe)) if now < probe => Verdict::Ejected,
            (Some(_), _) => Verdict::Probe,
        }
    }

    /// A request tries it out; others wait for its result for `limit`.
    pub fn probe(&mut self, now: time::Instant, limit: time::Duration) {
        self.probe_until = Some(now + limit);
    }

    /// Counts a success.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure; ejects where `allowed`. Returns whether it was ejected now.
    pub fn fail(&mut self, now: time::Instant, policy: &Policy, allowed: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        let on_trial = self.ejected_until.is_some();
        if self.verdict(now) == Verdict::Ejected && self.probe_until.is_none() {
            // Results of requests that were sent before the ejection.
            return false;
        }
        let due = on_trial || self.failures >= policy.eject_failures;
        if !due || !(allowed || on_trial) {
            return false;
        }
        let doubled = policy
            .eject_base
            .0
            .saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.ejected_until = Some(now + doubled.min(policy.eject_limit.0));
        self.probe_until = None;
        true
    }

    /// Whether it is ejected or on trial.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }
}
