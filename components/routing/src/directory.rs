//! Index of the backend servers of the mesh by service and version.

use std::cmp;
use std::rc;
use std::time;

use compact_str::CompactString;
use membership::{Member, Phase, State, View};

use crate::owners::{Owners, group_key};
use crate::{Endpoint, Group, KeyOwners, Policy};

/// Index of the backend servers of the mesh by service and version, as this node sees them.
#[derive(Debug)]
pub struct Directory {
    node: units::Node,
    data_centre: units::DataCentre,
    /// The view that was applied last.
    view: Option<rc::Rc<View>>,
    /// Sorted by node.
    endpoints: Vec<rc::Rc<Endpoint>>,
    /// Sorted by service and version.
    groups: Vec<rc::Rc<Group>>,
    owners: Owners,
    /// Whether any view has had a ready backend server.
    initialized: bool,
}

impl Directory {
    /// Most changed members that are applied one by one; more cause a rebuild.
    const INCREMENTAL_LIMIT: usize = 512;

    /// Creates an empty directory for `node` in `data_centre`.
    #[must_use]
    pub fn new(node: units::Node, data_centre: units::DataCentre) -> Self {
        Self {
            node,
            data_centre,
            view: None,
            endpoints: Vec::new(),
            groups: Vec::new(),
            owners: Owners::default(),
            initialized: false,
        }
    }

    /// Updates the directory to `view` unless that was applied last; returns whether it was another view.
    ///
    /// The cost grows with the number of changed members, apart from a pointer comparison of all members.
    pub fn update(&mut self, view: &rc::Rc<View>, policy: &Policy, now: time::Instant) -> bool {
        let previous = self.view.replace(view.clone());
        let Some(previous) = previous.filter(|_| self.initialized) else {
            self.rebuild(view, policy, now);
            return true;
        };
        if previous.generation() == view.generation() {
            return false;
        }
        let changed = changed_nodes(previous.members(), view.members());
        if changed.len() > Self::INCREMENTAL_LIMIT {
            self.rebuild(view, policy, now);
            return true;
        }
        for node in changed {
            self.apply_change(&node, view.member(&node), now);
        }
        self.owners.expire(policy.key_window.0, now);
        true
    }

    /// Rebuilds the directory from all members of `view`.
    fn rebuild(&mut self, view: &View, policy: &Policy, now: time::Instant) {
        let old = std::mem::take(&mut self.endpoints);
        for member in view.members() {
            let index = old.binary_search_by(|endpoint| endpoint.node.cmp(&member.node));
            let existing = index.ok().map(|index| &old[index]);
            let endpoint = self.endpoint_of(member, existing, now);
            self.endpoints.extend(endpoint);
        }
        self.rebuild_groups();
        let first = !self.initialized;
        self.initialized |= !self.endpoints.is_empty();
        self.owners.expire(policy.key_window.0, now);
        self.owners
            .rebuild(&self.endpoints, now, first.then_some(view));
    }

    /// Returns the endpoint of `member` if it accepts requests: `existing` if nothing has changed.
    fn endpoint_of(
        &self,
        member: &Member,
        existing: Option<&rc::Rc<Endpoint>>,
        now: time::Instant,
    ) -> Option<rc::Rc<Endpoint>> {
        let backend = member.backend.as_ref()?;
        let running = matches!(member.state, State::Alive | State::Suspect);
        if !running || backend.phase != Phase::Ready {
            return None;
        }
        match existing.filter(|existing| existing.matches(member, backend)) {
            Some(existing) => Some(existing.clone()),
            None => Endpoint::new(member, &self.node, &self.data_centre, now).map(rc::Rc::new),
        }
    }

    /// Applies the new state of one node, or its removal.
    fn apply_change(
        &mut self,
        node: &units::Node,
        member: Option<&rc::Rc<Member>>,
        now: time::Instant,
    ) {
        let index = self
            .endpoints
            .binary_search_by(|endpoint| endpoint.node.cmp(node));
        let old = index.ok().map(|index| self.endpoints[index].clone());
        let new = member.and_then(|member| self.endpoint_of(member, old.as_ref(), now));
        match (&old, &new) {
            (None, None) => return,
            (Some(old), Some(new)) if rc::Rc::ptr_eq(old, new) => return,
            _ => {}
        }
        match (index, &new) {
            (Ok(index), Some(new)) => self.endpoints[index] = new.clone(),
            (Ok(index), None) => drop(self.endpoints.remove(index)),
            (Err(index), Some(new)) => self.endpoints.insert(index, new.clone()),
            (Err(_), None) => {}
        }
        if let Some(old) = &old {
            self.replace_in_group(old, None);
        }
        if let Some(new) = &new {
            self.replace_in_group(new, Some(new));
        }
        let same_group = |old: &rc::Rc<Endpoint>, new: &rc::Rc<Endpoint>| {
            old.service == new.service && old.version == new.version
        };
        if let Some(old) = old
            .as_ref()
            .filter(|old| !new.as_ref().is_some_and(|new| same_group(old, new)))
        {
            self.owners.record_leave(old, now);
        }
        if let Some(new) = new
            .as_ref()
            .filter(|new| !old.as_ref().is_some_and(|old| same_group(old, new)))
        {
            self.owners.record_join(new, now);
        }
    }

    /// Replaces the group of `endpoint` by one without its node and with `added`.
    fn replace_in_group(&mut self, endpoint: &Endpoint, added: Option<&rc::Rc<Endpoint>>) {
        let index = self.position(&endpoint.service, &endpoint.version);
        let group = index.ok().map(|index| self.groups[index].clone());
        let endpoints = group.iter().flat_map(|group| group.all());
        let mut all: Vec<_> = endpoints
            .filter(|member| member.node != endpoint.node)
            .cloned()
            .collect();
        all.extend(added.cloned());
        all.sort_by(|a, b| a.node.cmp(&b.node));
        match index {
            Ok(index) if all.is_empty() => drop(self.groups.remove(index)),
            Ok(index) => self.groups[index] = rc::Rc::new(Group::new(all)),
            Err(_) if all.is_empty() => {}
            Err(index) => self.groups.insert(index, rc::Rc::new(Group::new(all))),
        }
    }

    /// Returns the groups of `service`, sorted by version.
    fn groups_of(&self, service: &str) -> &[rc::Rc<Group>] {
        let start = self
            .groups
            .partition_point(|group| group.service.as_str() < service);
        let length = self.groups[start..].partition_point(|group| group.service == service);
        &self.groups[start..start + length]
    }

    fn position(&self, service: &str, version: &str) -> Result<usize, usize> {
        let wanted = (service, version);
        self.groups
            .binary_search_by(|group| (group.service.as_str(), group.version.as_str()).cmp(&wanted))
    }

    /// Returns the group of `version` of `service`, if it has a ready backend server.
    #[must_use]
    pub fn find(&self, service: &str, version: &str) -> Option<&rc::Rc<Group>> {
        let index = self.position(service, version);
        index.ok().map(|index| &self.groups[index])
    }

    /// Merges the groups of all versions of `service` that are `allowed`, if any has a ready backend server.
    #[must_use]
    pub fn merged_group(
        &self,
        service: &str,
        allowed: impl Fn(&str) -> bool,
    ) -> Option<rc::Rc<Group>> {
        let groups = self.groups_of(service).iter();
        let mut groups = groups.filter(|group| allowed(&group.version));
        let first = groups.next()?;
        let Some(second) = groups.next() else {
            return Some(first.clone());
        };
        let members = [first, second].into_iter().chain(groups);
        let mut all: Vec<_> = members.flat_map(|group| group.all().cloned()).collect();
        all.sort_by(|a, b| a.node.cmp(&b.node));
        Some(rc::Rc::new(Group::new(all)))
    }

    /// Returns the services that have a ready backend server, sorted.
    pub fn services(&self) -> impl Iterator<Item = &CompactString> {
        let chunks = self.groups.chunk_by(|a, b| a.service == b.service);
        chunks.map(|chunk| &chunk[0].service)
    }

    /// Returns the versions of `service` that have a ready backend server, sorted.
    #[must_use]
    pub fn ready_versions(&self, service: &str) -> Vec<CompactString> {
        let groups = self.groups_of(service).iter();
        groups.map(|group| group.version.clone()).collect()
    }

    /// Returns the versions of `service` that have a ready backend server beside another node, sorted.
    #[must_use]
    pub fn versions_elsewhere(&self, service: &str) -> Vec<CompactString> {
        let groups = self.groups_of(service).iter();
        let elsewhere = groups.filter(|group| group.all().any(|endpoint| !endpoint.own));
        elsewhere.map(|group| group.version.clone()).collect()
    }

    /// Returns the versions of `service` that have had a ready backend server within the key window.
    #[must_use]
    pub fn recent_versions(&self, service: &str) -> Vec<CompactString> {
        self.owners.recent_versions(service)
    }

    /// Finds the owner that runs a request whose idempotency key has the hash `key`, and the previous owners.
    ///
    /// The highest-ranked present owner runs the request. Within the window, owners that rank higher
    /// and have left may have run it, and so may owners that rank lower and joined earlier.
    #[must_use]
    pub fn key_owners(
        &self,
        service: &str,
        version: &str,
        key: u64,
        view: &View,
        window: time::Duration,
        now: time::Instant,
    ) -> Option<KeyOwners> {
        let group = self.find(service, version)?;
        self.owners.key_owners(group, key, view, window, now)
    }

    /// As [`Directory::key_owners`], among the backend servers of `group`, which are some of a version's.
    #[must_use]
    pub fn key_owners_within(
        &self,
        group: &Group,
        key: u64,
        view: &View,
        window: time::Duration,
        now: time::Instant,
    ) -> Option<KeyOwners> {
        self.owners.key_owners(group, key, view, window, now)
    }

    /// Returns all ready backend servers, sorted by node.
    #[must_use]
    pub fn endpoints(&self) -> &[rc::Rc<Endpoint>] {
        &self.endpoints
    }

    /// Rebuilds the groups from the endpoints.
    fn rebuild_groups(&mut self) {
        let mut sorted = self.endpoints.clone();
        sorted.sort_by(|a, b| group_key(a).cmp(&group_key(b)));
        self.groups.clear();
        let same_group = |a: &rc::Rc<Endpoint>, b: &rc::Rc<Endpoint>| {
            a.service == b.service && a.version == b.version
        };
        for chunk in sorted.chunk_by(same_group) {
            let group = Group::new(chunk.to_vec());
            self.groups.push(rc::Rc::new(group));
        }
    }
}

/// Returns the nodes whose members differ between two sorted lists, which share unchanged members.
fn changed_nodes(old: &[rc::Rc<Member>], new: &[rc::Rc<Member>]) -> Vec<units::Node> {
    let mut changed = Vec::new();
    let (mut old_index, mut new_index) = (0, 0);
    while old_index < old.len() || new_index < new.len() {
        let order = match (old.get(old_index), new.get(new_index)) {
            (Some(before), Some(after)) if rc::Rc::ptr_eq(before, after) => {
                old_index += 1;
                new_index += 1;
                continue;
            }
            (Some(before), Some(after)) => before.node.cmp(&after.node),
            (Some(_), None) => cmp::Ordering::Less,
            (None, _) => cmp::Ordering::Greater,
        };
        let from_old = order.is_le();
        let member = if from_old {
            &old[old_index]
        } else {
            &new[new_index]
        };
        changed.push(member.node.clone());
        old_index += usize::from(from_old);
        new_index += usize::from(order.is_ge());
    }
    changed
}
