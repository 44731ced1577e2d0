//! What follows from the members, kept between their changes.

use std::rc;
use std::time;

use membership::{Member, Phase, View};

use crate::{Shard, rank};

/// What follows from the members; made anew when they have changed, but not too often, since a
/// large mesh changes all the time.
#[derive(Debug, Default)]
pub(crate) struct Index {
    generation: u64,
    made: Option<time::Instant>,
    /// Running members with a backend server, sorted by its service.
    backends: Vec<rc::Rc<Member>>,
    data_centres: u32,
    /// By shard: where this data centre's evidence is collected; none for this node.
    collectors: Vec<Option<units::Address>>,
    /// By shard: this node's place among all members, if it is the first or the second.
    places: Vec<Option<usize>>,
}

/// Ready backend servers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Ready {
    pub(crate) backends: usize,
    pub(crate) slots: u32,
}

impl Index {
    /// Shortest time for which it is kept.
    const KEPT: time::Duration = time::Duration::from_millis(200);
    /// Time for which it is kept, by the number of members: a thousandth of it is spent on making.
    const KEPT_A_MEMBER: time::Duration = time::Duration::from_micros(100);

    /// Brings it in line with `view`, as the node called `node` sees it.
    pub(crate) fn refresh(&mut self, view: &View, node: &units::Node, now: time::Instant) {
        let count = u32::try_from(view.members().len()).unwrap_or(u32::MAX);
        let kept = Self::KEPT.max(Self::KEPT_A_MEMBER.saturating_mul(count));
        let is_fresh = self
            .made
            .is_some_and(|made| now.saturating_duration_since(made) < kept);
        if is_fresh || (self.made.is_some() && self.generation == view.generation()) {
            return;
        }
        *self = Self::make(view, node, now);
    }

    fn make(view: &View, node: &units::Node, now: time::Instant) -> Self {
        let running: Vec<_> = view.running().cloned().collect();
        let own = view.member(node).map(|member| &member.data_centre);
        let is_near = |member: &&rc::Rc<Member>| Some(&member.data_centre) == own;
        let near: Vec<_> = running.iter().filter(is_near).cloned().collect();
        let mut backends = running.clone();
        backends.retain(|member| member.backend.is_some());
        backends.sort_by(|one, other| service(one).cmp(service(other)));
        Self {
            generation: view.generation(),
            made: Some(now),
            backends,
            data_centres: count_data_centres(&running),
            collectors: Shard::all()
                .map(|shard| collector(&near, node, shard))
                .collect(),
            places: Shard::all()
                .map(|shard| place(&running, node, shard))
                .collect(),
        }
    }

    /// Running members whose backend server belongs to `name`.
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

    /// Address of the member that collects the shard's evidence for this data centre; `None` where
    /// that is this node.
    pub(crate) fn collector(&self, shard: Shard) -> Option<units::Address> {
        self.collectors.get(shard.index()).copied().flatten()
    }

    /// This node's place among all members for `shard`, if it is the first or the second; a node
    /// that knows no members is the first.
    pub(crate) fn place(&self, shard: Shard) -> Option<usize> {
        self.places.get(shard.index()).copied().flatten()
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

fn collector(near: &[rc::Rc<Member>], node: &units::Node, shard: Shard) -> Option<units::Address> {
    let first = rank::first(near.iter(), &shard.lease_name())?;
    (first.node != *node).then_some(first.peer_address)
}

fn place(running: &[rc::Rc<Member>], node: &units::Node, shard: Shard) -> Option<usize> {
    if running.is_empty() {
        return Some(0);
    }
    let ranked = rank::first_two(running.iter(), &shard.lease_name());
    ranked.iter().position(|member| member.node == *node)
}
