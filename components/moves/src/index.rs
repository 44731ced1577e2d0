//! Data derived from the members, cached between their changes.

use std::rc;
use std::time;

use membership::{Member, Phase, View};

use crate::{Shard, rank};

/// Data derived from the members; rebuilt when they have changed, but at limited intervals, since a
/// large mesh changes all the time.
#[derive(Debug, Default)]
pub(crate) struct Index {
    generation: u64,
    built_at: Option<time::Instant>,
    /// Running members with a backend server, sorted by its service.
    backends: Vec<rc::Rc<Member>>,
    data_centres: u32,
    /// Addresses of the members that collect this data centre's evidence, by shard; `None` for this node.
    collectors: Vec<Option<units::Address>>,
    /// Ranks of this node among all members, by shard, if it is the first or the second.
    ranks: Vec<Option<usize>>,
}

/// Ready backend servers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Ready {
    pub(crate) backends: usize,
    pub(crate) slots: u32,
}

impl Index {
    /// Shortest time between two rebuilds.
    const MIN_AGE: time::Duration = time::Duration::from_millis(200);
    /// Shortest time between two rebuilds per member; rebuilding takes a thousandth of it.
    const MIN_AGE_PER_MEMBER: time::Duration = time::Duration::from_micros(100);

    /// Rebuilds the index from `view` for the node `node`, if it is outdated.
    pub(crate) fn refresh(&mut self, view: &View, node: &units::Node, now: time::Instant) {
        let count = u32::try_from(view.members().len()).unwrap_or(u32::MAX);
        let min_age = Self::MIN_AGE.max(Self::MIN_AGE_PER_MEMBER.saturating_mul(count));
        let is_fresh = self
            .built_at
            .is_some_and(|built_at| now.saturating_duration_since(built_at) < min_age);
        if is_fresh || (self.built_at.is_some() && self.generation == view.generation()) {
            return;
        }
        *self = Self::build(view, node, now);
    }

    fn build(view: &View, node: &units::Node, now: time::Instant) -> Self {
        let running: Vec<_> = view.running().cloned().collect();
        let own_centre = view.member(node).map(|member| &member.data_centre);
        let is_local = |member: &&rc::Rc<Member>| Some(&member.data_centre) == own_centre;
        let local: Vec<_> = running.iter().filter(is_local).cloned().collect();
        let mut backends = running.clone();
        backends.retain(|member| member.backend.is_some());
        backends.sort_by(|one, other| service(one).cmp(service(other)));
        Self {
            generation: view.generation(),
            built_at: Some(now),
            backends,
            data_centres: count_data_centres(&running),
            collectors: Shard::all()
                .map(|shard| collector(&local, node, shard))
                .collect(),
            ranks: Shard::all()
                .map(|shard| rank_of(&running, node, shard))
                .collect(),
        }
    }

    /// Running members whose backend server runs the service `name`.
    pub(crate) fn of_service(&self, name: &str) -> &[rc::Rc<Member>] {
        let start = self.backends.partition_point(|one| service(one) < name);
        let rest = &self.backends[start..];
        &rest[..rest.partition_point(|one| service(one) == name)]
    }

    /// Ready backend servers of `version` of `service`.
    pub(crate) fn ready(&self, service: &str, version: &str) -> Ready {
        let mut ready = Ready::default();
        let members = self.of_service(service).iter();
        for backend in members.filter_map(|member| member.backend.as_ref()) {
            if backend.version == version && backend.phase == Phase::Ready {
                ready.backends += 1;
                ready.slots += backend.slots;
            }
        }
        ready
    }

    /// Number of data centres, at least 1.
    pub(crate) fn data_centres(&self) -> u32 {
        self.data_centres.max(1)
    }

    /// Address of the member that collects the shard's evidence for this data centre; `None` if it is
    /// this node.
    pub(crate) fn collector(&self, shard: Shard) -> Option<units::Address> {
        self.collectors.get(shard.index()).copied().flatten()
    }

    /// Rank of this node among all members for `shard`, if it is the first or the second; a node that
    /// knows no members is the first.
    pub(crate) fn rank(&self, shard: Shard) -> Option<usize> {
        self.ranks.get(shard.index()).copied().flatten()
    }
}

fn service(member: &Member) -> &str {
    member
        .backend
        .as_ref()
        .map_or("", |backend| backend.service.as_str())
}

fn count_data_centres(running: &[rc::Rc<Member>]) -> u32 {
    let mut centres: Vec<_> = running.iter().map(|member| &member.data_centre).collect();
    centres.sort_unstable();
    centres.dedup();
    u32::try_from(centres.len()).unwrap_or(u32::MAX)
}

fn collector(local: &[rc::Rc<Member>], node: &units::Node, shard: Shard) -> Option<units::Address> {
    let first = rank::first(local.iter(), &shard.lease_name())?;
    (first.node != *node).then_some(first.peer_address)
}

fn rank_of(running: &[rc::Rc<Member>], node: &units::Node, shard: Shard) -> Option<usize> {
    if running.is_empty() {
        return Some(0);
    }
    let ranked = rank::first_two(running.iter(), &shard.lease_name());
    ranked.iter().position(|member| member.node == *node)
}
