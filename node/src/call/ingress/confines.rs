//! Data centres to which a request may be sent.

use std::cell;
use std::rc;

use compact_str::CompactString;
use routing::{Endpoint, Evacuations, Group, Regions};

use crate::call::{Problem, Reason};

/// Data centres to which a request may be sent: those that are not evacuated, in the regions of its route
/// and of its workspace.
pub(super) struct Confines<'c> {
    pub(super) evacuations: &'c Evacuations,
    pub(super) regions: &'c Regions,
    /// Regions of the route, and those of the workspace; both bind.
    pub(super) homes: [&'c [CompactString]; 2],
    /// Whether a backend server was left out because of an evacuation.
    pub(super) evacuated: cell::Cell<bool>,
}

impl Confines<'_> {
    /// Whether some backend servers may be left out.
    pub(super) fn is_narrow(&self) -> bool {
        !self.evacuations.is_empty() || self.homes.iter().any(|homes| !homes.is_empty())
    }

    /// Returns the backend servers of `group` that the request may be sent to, if there are any.
    pub(super) fn narrow(&self, group: rc::Rc<Group>) -> Option<rc::Rc<Group>> {
        if !self.is_narrow() || group.all().all(|endpoint| self.contains(endpoint)) {
            return Some(group);
        }
        let kept = group.all().filter(|endpoint| self.contains(endpoint));
        let mut kept: Vec<_> = kept.cloned().collect();
        kept.sort_by(|a, b| a.node.cmp(&b.node));
        (!kept.is_empty()).then(|| rc::Rc::new(Group::new(kept)))
    }

    /// Returns the problem for a request that no backend server within the confines can take.
    pub(super) fn problem(&self) -> Problem {
        let reason = match self.evacuated.get() {
            true => admission::Reason::Evacuated,
            false => admission::Reason::NoBackend,
        };
        Problem::retryable(Reason::Refused(reason))
    }

    fn contains(&self, endpoint: &Endpoint) -> bool {
        let mut homes = self.homes.iter();
        if !homes.all(|homes| self.regions.is_home(&endpoint.data_centre, homes)) {
            return false;
        }
        let is_evacuated = self.evacuations.contains(&endpoint.data_centre);
        if is_evacuated {
            self.evacuated.set(true);
        }
        !is_evacuated
    }
}
