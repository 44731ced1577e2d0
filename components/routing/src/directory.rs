//! The backend servers of the mesh, by service and version.

use std::cmp;
use std::rc;
use std::time;

use compact_str::CompactString;
use membership::{Member, Phase, State, View};

use crate::{Endpoint, Group, Heir, Home, Past, Policy, rank};

/// The backend servers of the mesh, by service and version, as this node sees them.
#[derive(Debug)]
pub struct Directory {
    node: units::Node,
    data_centre: units::DataCentre,
    /// The view that was taken over last.
    view: Option<rc::Rc<View>>,
    /// Sorted by node.
    endpoints: Vec<rc::Rc<Endpoint>>,
    /// Sorted by service and version.
    groups: Vec<rc::Rc<Group>>,
    /// Owners of now and of the key window, sorted by service, version and node.
    seen: Vec<Seen>,
    /// A backend server has been seen.
    started: bool,
}

/// An owner of a version of a service, now or within the key window.
#[derive(Debug, Clone)]
struct Seen {
    service: CompactString,
    version: CompactString,
    node: units::Node,
    joined: time::Instant,
    left: Option<time::Instant>,
    /// It was there before this node looked.
    early: bool,
}

impl Seen {
    fn new(endpoint: &Endpoint, now: time::Instant, early: bool) -> Self {
        Self {
            service: endpoint.service.clone(),
            version: endpoint.version.clone(),
            node: endpoint.node.clone(),
            joined: now,
            left: None,
            early,
        }
    }

    fn key(&self) -> (&str, &str, &units::Node) {
        (&self.service, &self.version, &self.node)
    }
}

impl Directory {
    /// Most owners that are asked for the record of a key.
    const PAST_LIMIT: usize = 4;
    /// Most changed members that are taken over one by one.
    const CHANGES_LIMIT: usize = 512;

    /// An empty directory as seen from `node` in `data_centre`.
    #[must_use]
    pub fn new(node: units::Node, data_centre: units::DataCentre) -> Self {
        Self {
            node,
            data_centre,
            view: None,
            endpoints: Vec::new(),
            groups: Vec::new(),
            seen: Vec::new(),
            started: false,
        }
    }

    /// Takes over `view`; does nothing when it is the one held. Returns whether it was another one.
    ///
    /// The cost grows with the members that have changed, but for a comparison of pointers.
    pub fn update(&mut self, view: &rc::Rc<View>, policy: &Policy, now: time::Instant) -> bool {
        let held = self.view.replace(view.clone());
        let Some(held) = held.filter(|_| self.started) else {
            self.rebuild(view, policy, now);
            return true;
        };
        if held.generation() == view.generation() {
            return false;
        }
        let changed = changes(held.members(), view.members());
        if changed.len() > Self::CHANGES_LIMIT {
            self.rebuild(view, policy, now);
            return true;
        }
        for node in changed {
            self.apply(&node, view.member(&node), now);
        }
        self.forget(policy, now);
        true
    }

    /// Takes over the whole of `view`.
    fn rebuild(&mut self, view: &View, policy: &Policy, now: time::Instant) {
        let old = std::mem::take(&mut self.endpoints);
        for member in view.members() {
            let place = old.binary_search_by(|one| one.node.cmp(&member.node));
            let known = place.ok().map(|place| &old[place]);
            let endpoint = self.endpoint(member, known, now);
            self.endpoints.extend(endpoint);
        }
        self.group();
        self.remember(view, policy, now);
    }

    /// The endpoint of `member` if it takes requests: the `known` one where nothing has changed.
    fn endpoint(
        &self,
        member: &Member,
        known: Option<&rc::Rc<Endpoint>>,
        now: time::Instant,
    ) -> Option<rc::Rc<Endpoint>> {
        let backend = member.backend.as_ref()?;
        let running = matches!(member.state, State::Alive | State::Suspect);
        if !running || backend.phase != Phase::Ready {
            return None;
        }
        match known.filter(|known| known.is(member, backend)) {
            Some(known) => Some(known.clone()),
            None => Endpoint::new(member, &self.node, &self.data_centre, now).map(rc::Rc::new),
        }
    }

    /// Takes over what has become of one node.
    fn apply(&mut self, node: &units::Node, member: Option<&rc::Rc<Member>>, now: time::Instant) {
        let place = self.endpoints.binary_search_by(|one| one.node.cmp(node));
        let old = place.ok().map(|place| self.endpoints[place].clone());
        let new = member.and_then(|member| self.endpoint(member, old.as_ref(), now));
        match (&old, &new) {
            (None, None) => return,
            (Some(old), Some(new)) if rc::Rc::ptr_eq(old, new) => return,
            _ => {}
        }
        match (place, &new) {
            (Ok(place), Some(new)) => self.endpoints[place] = new.clone(),
            (Ok(place), None) => drop(self.endpoints.remove(place)),
            (Err(place), Some(new)) => self.endpoints.insert(place, new.clone()),
            (Err(_), None) => {}
        }
        if let Some(old) = &old {
            self.regroup(old, None);
        }
        if let Some(new) = &new {
            self.regroup(new, Some(new));
        }
        let same = |old: &rc::Rc<Endpoint>, new: &rc::Rc<Endpoint>| {
            old.service == new.service && old.version == new.version
        };
        if let Some(old) = old
            .as_ref()
            .filter(|old| !new.as_ref().is_some_and(|new| same(old, new)))
        {
            self.leave(old, now);
        }
        if let Some(new) = new
            .as_ref()
            .filter(|new| !old.as_ref().is_some_and(|old| same(old, new)))
        {
            self.join(new, now);
        }
    }

    /// Replaces the group of `endpoint` by one without its node, and with `added`.
    fn regroup(&mut self, endpoint: &Endpoint, added: Option<&rc::Rc<Endpoint>>) {
        let place = self.place(&endpoint.service, &endpoint.version);
        let held = place.ok().map(|place| self.groups[place].clone());
        let held = held.iter().flat_map(|group| group.all());
        let mut all: Vec<_> = held
            .filter(|one| one.node != endpoint.node)
            .cloned()
            .collect();
        all.extend(added.cloned());
        all.sort_by(|one, other| one.node.cmp(&other.node));
        match place {
            Ok(place) if all.is_empty() => drop(self.groups.remove(place)),
            Ok(place) => self.groups[place] = rc::Rc::new(Group::new(all)),
            Err(_) if all.is_empty() => {}
            Err(place) => self.groups.insert(place, rc::Rc::new(Group::new(all))),
        }
    }

    /// The groups of `service`, sorted by version.
    fn groups_of(&self, service: &str) -> &[rc::Rc<Group>] {
        let start = self
            .groups
            .partition_point(|group| group.service.as_str() < service);
        let length = self.groups[start..].partition_point(|group| group.service == service);
        &self.groups[start..start + length]
    }

    fn place(&self, service: &str, version: &str) -> Result<usize, usize> {
        let wanted = (service, version);
        self.groups
            .binary_search_by(|group| (group.service.as_str(), group.version.as_str()).cmp(&wanted))
    }

    /// The owner takes no more requests for its version.
    fn leave(&mut self, endpoint: &Endpoint, now: time::Instant) {
        let key = group_key(endpoint);
        let start = self.seen.partition_point(|one| one.key() < key);
        let same = self.seen[start..]
            .iter_mut()
            .take_while(|one| one.key() == key);
        for one in same {
            one.left.get_or_insert(now);
        }
    }

    /// The owner takes requests for its version from now on.
    fn join(&mut self, endpoint: &Endpoint, now: time::Instant) {
        let key = group_key(endpoint);
        let place = self.seen.partition_point(|one| one.key() < key);
        self.seen.insert(place, Seen::new(endpoint, now, false));
    }

    /// Forgets the owners that left longer ago than the key window.
    fn forget(&mut self, policy: &Policy, now: time::Instant) {
        let window = policy.key_window.0;
        let recent = |left: time::Instant| now.saturating_duration_since(left) < window;
        self.seen.retain(|one| one.left.is_none_or(recent));
    }

    /// The group of `version` of `service`, if it has a ready backend server.
    #[must_use]
    pub fn find(&self, service: &str, version: &str) -> Option<&rc::Rc<Group>> {
        let place = self.place(service, version);
        place.ok().map(|place| &self.groups[place])
    }

    /// The backend servers of all `open` versions of `service`, if one is ready.
    #[must_use]
    pub fn whole(&self, service: &str, open: impl Fn(&str) -> bool) -> Option<rc::Rc<Group>> {
        let of_service = self.groups_of(service).iter();
        let mut groups = of_service.filter(|group| open(&group.version));
        let first = groups.next()?;
        let Some(second) = groups.next() else {
            return Some(first.clone());
        };
        let members = [first, second].into_iter().chain(groups);
        let mut all: Vec<_> = members.flat_map(|group| group.all().cloned()).collect();
        all.sort_by(|one, other| one.node.cmp(&other.node));
        Some(rc::Rc::new(Group::new(all)))
    }

    /// Versions of `service` that have a ready backend server, sorted.
    #[must_use]
    pub fn ready_versions(&self, service: &str) -> Vec<CompactString> {
        let of_service = self.groups_of(service).iter();
        of_service.map(|group| group.version.clone()).collect()
    }

    /// Versions of `service` that have a ready backend server beside another node, sorted.
    #[must_use]
    pub fn versions_elsewhere(&self, service: &str) -> Vec<CompactString> {
        let of_service = self.groups_of(service).iter();
        let elsewhere = of_service.filter(|group| group.all().any(|one| !one.own));
        elsewhere.map(|group| group.version.clone()).collect()
    }

    /// Versions of `service` that had a ready backend server within the key window.
    #[must_use]
    pub fn versions(&self, service: &str) -> Vec<CompactString> {
        let start = self
            .seen
            .partition_point(|one| one.service.as_str() < service);
        let of_service = self.seen[start..]
            .iter()
            .take_while(|one| one.service == service);
        let mut versions: Vec<_> = of_service.map(|one| one.version.clone()).collect();
        versions.dedup();
        versions
    }

    /// All backend servers, sorted by node.
    #[must_use]
    pub fn endpoints(&self) -> &[rc::Rc<Endpoint>] {
        &self.endpoints
    }

    /// Where a request with an idempotency key of hash `key` runs, and may have run before.
    ///
    /// It runs at the highest-ranked owner that is there. Within the window it may have run at those
    /// that rank higher and have gone, and at those that rank lower and were there before.
    #[must_use]
    pub fn home(
        &self,
        service: &str,
        version: &str,
        key: u64,
        view: &View,
        window: time::Duration,
        now: time::Instant,
    ) -> Option<Home> {
        let group = self.find(service, version)?;
        let mut ranked: Vec<_> = self.seen_of(service, version).iter().collect();
        ranked.sort_by_cached_key(|one| std::cmp::Reverse(rank(&one.node, key)));
        let place = ranked.iter().position(|one| one.left.is_none())?;
        let present = ranked[place];
        let endpoint = group.all().find(|one| one.node == present.node)?.clone();
        let mut joined = present.joined;
        let mut past = Vec::new();
        let lower = earlier(present, &ranked[place + 1..], window, now);
        let lower = lower.into_iter().map(|one| one + place + 1);
        for index in (0..place).chain(lower) {
            let one = ranked[index];
            if one.node == endpoint.node {
                // It left and came back; its records cover both times unless it was restarted.
                joined = joined.min(one.joined);
            } else if past.len() < Self::PAST_LIMIT {
                add_past(&mut past, one, view, heir(&ranked, index));
            }
        }
        let mut next = ranked[place + 1..].iter();
        let next = next.find(|one| one.left.is_none() && one.node != endpoint.node);
        let backup = next.and_then(|next| group.all().find(|one| one.node == next.node));
        Some(Home {
            backup: backup.cloned(),
            endpoint,
            joined,
            past,
        })
    }

    /// Groups the backend servers by service and version.
    fn group(&mut self) {
        let mut sorted = self.endpoints.clone();
        sorted.sort_by(|one, other| group_key(one).cmp(&group_key(other)));
        self.groups.clear();
        let same = |one: &rc::Rc<Endpoint>, other: &rc::Rc<Endpoint>| {
            one.service == other.service && one.version == other.version
        };
        for chunk in sorted.chunk_by(same) {
            let group = Group::new(chunk.to_vec());
            self.groups.push(rc::Rc::new(group));
        }
    }

    /// Brings the owners of the key window up to date.
    fn remember(&mut self, view: &View, policy: &Policy, now: time::Instant) {
        let first = !self.started;
        self.started |= !self.endpoints.is_empty();
        self.forget(policy, now);
        let mut seen = std::mem::take(&mut self.seen);
        for one in &mut seen {
            if one.left.is_none() && !self.has(one) {
                one.left = Some(now);
            }
        }
        let held = seen.len();
        for endpoint in &self.endpoints {
            let known = seen[..held].binary_search_by(|one| {
                let wanted = (&*endpoint.service, &*endpoint.version, &endpoint.node);
                one.key().cmp(&wanted)
            });
            // A node that left and came back stands twice: its records are lost.
            if known.is_ok_and(|place| stands(&seen[..held], place)) {
                continue;
            }
            seen.push(Seen::new(endpoint, now, first));
        }
        if first {
            seen.extend(view.members().iter().filter_map(|member| gone(member, now)));
        }
        seen.sort_by(|one, other| one.key().cmp(&other.key()));
        self.seen = seen;
    }

    fn has(&self, seen: &Seen) -> bool {
        let place = self
            .endpoints
            .binary_search_by(|one| one.node.cmp(&seen.node));
        place.is_ok_and(|place| {
            let endpoint = &self.endpoints[place];
            endpoint.service == seen.service && endpoint.version == seen.version
        })
    }

    fn seen_of(&self, service: &str, version: &str) -> &[Seen] {
        let key =
            |one: &Seen| (one.service.as_str(), one.version.as_str()).cmp(&(service, version));
        let start = self.seen.partition_point(|one| key(one).is_lt());
        let length = self.seen[start..].partition_point(|one| key(one).is_eq());
        &self.seen[start..start + length]
    }
}

/// The nodes whose members differ between two sorted lists; unchanged members are shared by both.
fn changes(old: &[rc::Rc<Member>], new: &[rc::Rc<Member>]) -> Vec<units::Node> {
    let mut changed = Vec::new();
    let (mut one, mut other) = (0, 0);
    while one < old.len() || other < new.len() {
        let order = match (old.get(one), new.get(other)) {
            (Some(held), Some(next)) if rc::Rc::ptr_eq(held, next) => {
                one += 1;
                other += 1;
                continue;
            }
            (Some(held), Some(next)) => held.node.cmp(&next.node),
            (Some(_), None) => cmp::Ordering::Less,
            (None, _) => cmp::Ordering::Greater,
        };
        let from_old = order.is_le();
        let member = if from_old { &old[one] } else { &new[other] };
        changed.push(member.node.clone());
        one += usize::from(from_old);
        other += usize::from(order.is_ge());
    }
    changed
}

fn group_key(endpoint: &Endpoint) -> (&str, &str, &units::Node) {
    (&endpoint.service, &endpoint.version, &endpoint.node)
}

/// Places of those of `lower`, ranked below `present`, that were the highest-ranked ones before.
fn earlier(
    present: &Seen,
    lower: &[&Seen],
    window: time::Duration,
    now: time::Instant,
) -> Vec<usize> {
    let recent = |at: time::Instant| now.saturating_duration_since(at) < window;
    // Before this time none of those seen so far was there.
    let mut bound = present.joined;
    let mut found = Vec::new();
    for (place, one) in lower.iter().enumerate() {
        if !recent(bound) {
            break;
        }
        if present.early && one.early {
            // Which of them came first is not known here.
            if one.left.is_none() {
                found.push(place);
            }
        } else if one.joined < bound {
            if one.left.is_none_or(|left| left >= bound) {
                bound = one.joined;
            }
            found.push(place);
        }
    }
    found
}

/// The owner that the one at `place` told of its keys: the next-ranked one, where that was the same
/// all the time.
fn heir(ranked: &[&Seen], place: usize) -> Option<Heir> {
    let gone = ranked[place];
    let left = gone.left.unwrap_or(gone.joined);
    for other in &ranked[place + 1..] {
        let there_before = other.joined <= gone.joined || (other.early && gone.early);
        let came_later = other.joined >= left && !there_before;
        let left_before = other.left.is_some_and(|one| one <= gone.joined);
        if other.node == gone.node || came_later || left_before {
            continue;
        }
        let stays = other.left.is_none() && there_before;
        return stays.then(|| Heir {
            node: other.node.clone(),
            joined: other.joined,
        });
    }
    None
}

/// Adds an owner that may have run a request; one that stands there twice counts from its first time.
fn add_past(past: &mut Vec<Past>, seen: &Seen, view: &View, heir: Option<Heir>) {
    if let Some(known) = past.iter_mut().find(|known| known.node == seen.node) {
        known.joined = known.joined.min(seen.joined);
        if known.heir != heir {
            known.heir = None;
        }
        return;
    }
    past.push(Past {
        node: seen.node.clone(),
        address: reachable(view, seen),
        joined: seen.joined,
        heir,
    });
}

/// Whether the entry at `place`, or one with the same key beside it, has not left.
fn stands(seen: &[Seen], place: usize) -> bool {
    let key = seen[place].key();
    let before = seen[..place]
        .iter()
        .rev()
        .take_while(|one| one.key() == key);
    let after = seen[place..].iter().take_while(|one| one.key() == key);
    before.chain(after).any(|one| one.left.is_none())
}

/// Where the owner can be asked for its records; `None` when they are gone with it.
fn reachable(view: &View, seen: &Seen) -> Option<units::Address> {
    let member = view.member(&seen.node)?;
    let running = matches!(member.state, State::Alive | State::Suspect);
    running.then_some(member.mesh_address)
}

/// A member that failed or left before this node knew it.
fn gone(member: &Member, now: time::Instant) -> Option<Seen> {
    let backend = member.backend.as_ref()?;
    if !matches!(member.state, State::Dead | State::Left) {
        return None;
    }
    Some(Seen {
        service: backend.service.clone(),
        version: backend.version.clone(),
        node: member.node.clone(),
        joined: now,
        left: Some(now),
        early: true,
    })
}
