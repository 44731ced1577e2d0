//! The backend servers of one version of a service.

use std::rc;
use std::time;

use compact_str::CompactString;

use crate::{Endpoint, Policy};

/// The ready backend servers of one version of a service.
#[derive(Debug, Default)]
pub struct Group {
    /// The service.
    pub service: CompactString,
    /// The version.
    pub version: CompactString,
    /// Those in this node's data centre, sorted by node.
    pub local: Vec<rc::Rc<Endpoint>>,
    /// Those elsewhere, sorted by node.
    pub remote: Vec<rc::Rc<Endpoint>>,
}

impl Group {
    /// A group of `endpoints` of one version, sorted by node.
    #[must_use]
    pub fn new(endpoints: Vec<rc::Rc<Endpoint>>) -> Self {
        let first = endpoints.first();
        let service = first.map(|first| first.service.clone()).unwrap_or_default();
        let version = first.map(|first| first.version.clone()).unwrap_or_default();
        let (local, remote) = endpoints.into_iter().partition(|one| one.local);
        Self {
            service,
            version,
            local,
            remote,
        }
    }

    /// All backend servers.
    pub fn all(&self) -> impl Iterator<Item = &rc::Rc<Endpoint>> {
        self.local.iter().chain(&self.remote)
    }

    /// The group of only the first `count` backend servers by node.
    #[must_use]
    pub fn first(&self, count: usize) -> Self {
        let mut all: Vec<_> = self.all().cloned().collect();
        all.sort_by(|one, other| one.node.cmp(&other.node));
        all.truncate(count.max(1));
        Self::new(all)
    }

    /// The backend server where the next turn of this node comes first, other than those `tried`; `None`
    /// where no turn is to come.
    #[must_use]
    pub fn next_turn(
        &self,
        tried: &[units::Node],
        now: time::Instant,
    ) -> Option<&rc::Rc<Endpoint>> {
        let limited = self.all().filter(|one| {
            let has_turn = !one.wait(now).is_zero() && !one.is_leaving();
            has_turn && !tried.contains(&one.node)
        });
        limited.min_by_key(|one| one.wait(now))
    }

    /// Whether one more backend server may be ejected.
    #[must_use]
    pub fn may_eject(&self, policy: &Policy) -> bool {
        let ejected = self
            .all()
            .filter(|one| one.health.get().is_ejected())
            .count();
        let total = self.local.len() + self.remote.len();
        let limit =
            total * policy.eject_share.parts() as usize / units::Share::WHOLE.parts() as usize;
        ejected < limit
    }
}
