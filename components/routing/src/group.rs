//! The backend servers of one version of a service.

use std::rc;
use std::time;

use compact_str::CompactString;

use crate::{Endpoint, Policy};

/// The ready backend servers of one version of a service.
#[derive(Debug, Default)]
pub struct Group {
    /// Name of the service.
    pub service: CompactString,
    /// Name of the version.
    pub version: CompactString,
    /// Backend servers in this node's data centre, sorted by node.
    pub local: Vec<rc::Rc<Endpoint>>,
    /// Backend servers in other data centres, sorted by node.
    pub remote: Vec<rc::Rc<Endpoint>>,
}

impl Group {
    /// Creates a group from `endpoints` of one version, which are sorted by node.
    #[must_use]
    pub fn new(endpoints: Vec<rc::Rc<Endpoint>>) -> Self {
        let first = endpoints.first();
        let service = first.map(|first| first.service.clone()).unwrap_or_default();
        let version = first.map(|first| first.version.clone()).unwrap_or_default();
        let (local, remote) = endpoints.into_iter().partition(|endpoint| endpoint.local);
        Self {
            service,
            version,
            local,
            remote,
        }
    }

    /// Returns all backend servers, the local ones first.
    pub fn all(&self) -> impl Iterator<Item = &rc::Rc<Endpoint>> {
        self.local.iter().chain(&self.remote)
    }

    /// Returns a group of only the first `count` backend servers by node.
    #[must_use]
    pub fn first(&self, count: usize) -> Self {
        let mut all: Vec<_> = self.all().cloned().collect();
        all.sort_by(|a, b| a.node.cmp(&b.node));
        all.truncate(count.max(1));
        Self::new(all)
    }

    /// Returns the backend server that is not in `tried` and where this node's next turn comes first;
    /// `None` if no turn is pending.
    #[must_use]
    pub fn next_turn(
        &self,
        tried: &[units::Node],
        now: time::Instant,
    ) -> Option<&rc::Rc<Endpoint>> {
        let limited = self.all().filter(|endpoint| {
            let has_turn = !endpoint.time_to_turn(now).is_zero() && !endpoint.is_leaving();
            has_turn && !tried.contains(&endpoint.node)
        });
        limited.min_by_key(|endpoint| endpoint.time_to_turn(now))
    }

    /// Whether one more backend server may be ejected without exceeding the eject share.
    #[must_use]
    pub fn may_eject(&self, policy: &Policy) -> bool {
        let ejected = self
            .all()
            .filter(|endpoint| endpoint.health.get().is_ejected())
            .count();
        let total = self.local.len() + self.remote.len();
        let limit =
            total * policy.eject_share.parts() as usize / units::Share::WHOLE.parts() as usize;
        ejected < limit
    }
}
