//! Passive health of a backend server: ejection after consecutive failures.

use std::time;

use crate::Policy;

/// Passive health of a backend server, derived from the results of its last requests.
///
/// The health that a backend server announces about itself is not used, as it may be late or wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Option<time::Instant>,
    /// Time until which a single request probes the backend server after an ejection.
    probe_until: Option<time::Instant>,
}

/// Whether a backend server may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Any request may be sent.
    Healthy,
    /// A single request may be sent as a probe.
    Probe,
    /// No request may be sent.
    Ejected,
}

impl Health {
    /// Returns whether a request may be sent to the backend server.
    #[must_use]
    pub fn verdict(&self, now: time::Instant) -> Verdict {
        match (self.ejected_until, self.probe_until) {
            (None, _) => Verdict::Healthy,
            (Some(until), _) if now < until => Verdict::Ejected,
            (Some(_), Some(probe)) if now < probe => Verdict::Ejected,
            (Some(_), _) => Verdict::Probe,
        }
    }

    /// Starts a probe: no other request is sent before its result, or until `limit` has passed.
    pub fn start_probe(&mut self, now: time::Instant, limit: time::Duration) {
        self.probe_until = Some(now + limit);
    }

    /// Records a success, which resets the health.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure and ejects the backend server if that is `allowed`; returns whether this failure
    /// ejected it.
    pub fn fail(&mut self, now: time::Instant, policy: &Policy, allowed: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        let is_probe = self.ejected_until.is_some();
        if self.verdict(now) == Verdict::Ejected && self.probe_until.is_none() {
            // The request was sent before the ejection.
            return false;
        }
        let due = is_probe || self.failures >= policy.eject_failures;
        if !due || !(allowed || is_probe) {
            return false;
        }
        let duration = policy
            .eject_base
            .0
            .saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.ejected_until = Some(now + duration.min(policy.eject_limit.0));
        self.probe_until = None;
        true
    }

    /// Whether the backend server is ejected or being probed.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }
}
