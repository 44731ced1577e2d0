//! Current owners and those of the key window, to which requests with idempotency keys are sent.

use std::rc;
use std::time;

use compact_str::CompactString;
use membership::{Member, State, View};

use crate::{Backup, Endpoint, Group, KeyOwners, PreviousOwner, rank};

/// Current owners and those that left within the key window.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    /// Sorted by service, version and node.
    entries: Vec<Entry>,
}

/// Owner of a version of a service, now or within the key window.
#[derive(Debug, Clone)]
struct Entry {
    service: CompactString,
    version: CompactString,
    node: units::Node,
    joined: time::Instant,
    left: Option<time::Instant>,
    /// Whether the owner was already in the first view of this node.
    initial: bool,
}

impl Entry {
    fn new(endpoint: &Endpoint, now: time::Instant, initial: bool) -> Self {
        Self {
            service: endpoint.service.clone(),
            version: endpoint.version.clone(),
            node: endpoint.node.clone(),
            joined: now,
            left: None,
            initial,
        }
    }

    fn key(&self) -> (&str, &str, &units::Node) {
        (&self.service, &self.version, &self.node)
    }
}

impl Owners {
    /// Most previous owners that are asked for the record of a key.
    const PREVIOUS_LIMIT: usize = 4;

    /// Records that the owner no longer accepts requests for its version.
    pub(crate) fn record_leave(&mut self, endpoint: &Endpoint, now: time::Instant) {
        let key = group_key(endpoint);
        let start = self.entries.partition_point(|entry| entry.key() < key);
        let same = self.entries[start..]
            .iter_mut()
            .take_while(|entry| entry.key() == key);
        for entry in same {
            entry.left.get_or_insert(now);
        }
    }

    /// Records that the owner accepts requests for its version from now on.
    pub(crate) fn record_join(&mut self, endpoint: &Endpoint, now: time::Instant) {
        let key = group_key(endpoint);
        let index = self.entries.partition_point(|entry| entry.key() < key);
        self.entries.insert(index, Entry::new(endpoint, now, false));
    }

    /// Removes the owners that left longer ago than `window`.
    pub(crate) fn expire(&mut self, window: time::Duration, now: time::Instant) {
        let recent = |left: time::Instant| now.saturating_duration_since(left) < window;
        self.entries.retain(|entry| entry.left.is_none_or(recent));
    }

    /// Returns the versions of `service` that have had a ready backend server within the key window.
    pub(crate) fn recent_versions(&self, service: &str) -> Vec<CompactString> {
        let start = self
            .entries
            .partition_point(|entry| entry.service.as_str() < service);
        let of_service = self.entries[start..]
            .iter()
            .take_while(|entry| entry.service == service);
        let mut versions: Vec<_> = of_service.map(|entry| entry.version.clone()).collect();
        versions.dedup();
        versions
    }

    /// Finds the owner in `group` that runs a request whose key has the hash `key`, and the previous owners.
    pub(crate) fn key_owners(
        &self,
        group: &Group,
        key: u64,
        view: &View,
        window: time::Duration,
        now: time::Instant,
    ) -> Option<KeyOwners> {
        let mut ranked: Vec<_> = self
            .entries_of(&group.service, &group.version)
            .iter()
            .collect();
        ranked.sort_by_cached_key(|entry| std::cmp::Reverse(rank(&entry.node, key)));
        let position = ranked.iter().position(|entry| entry.left.is_none())?;
        let current = ranked[position];
        let owner = group
            .all()
            .find(|endpoint| endpoint.node == current.node)?
            .clone();
        let mut joined = current.joined;
        let mut previous = Vec::new();
        let lower = former_first_ranked(current, &ranked[position + 1..], window, now);
        let lower = lower.into_iter().map(|offset| offset + position + 1);
        for index in (0..position).chain(lower) {
            let entry = ranked[index];
            if entry.node == owner.node {
                // The owner left and came back; its records cover both periods unless it was restarted.
                joined = joined.min(entry.joined);
            } else if previous.len() < Self::PREVIOUS_LIMIT {
                add_previous(&mut previous, entry, view, backup_of(&ranked, index));
            }
        }
        let mut next = ranked[position + 1..].iter();
        let next = next.find(|entry| entry.left.is_none() && entry.node != owner.node);
        let backup = next.and_then(|next| group.all().find(|endpoint| endpoint.node == next.node));
        Some(KeyOwners {
            backup: backup.cloned(),
            owner,
            joined,
            previous,
        })
    }

    /// Rebuilds the owners from the current backend servers and, the first time, also from the members
    /// of `first_view` that were already gone.
    pub(crate) fn rebuild(
        &mut self,
        endpoints: &[rc::Rc<Endpoint>],
        now: time::Instant,
        first_view: Option<&View>,
    ) {
        let mut entries = std::mem::take(&mut self.entries);
        for entry in &mut entries {
            if entry.left.is_none() && !contains(endpoints, entry) {
                entry.left = Some(now);
            }
        }
        let existing = entries.len();
        for endpoint in endpoints {
            let known = entries[..existing].binary_search_by(|entry| {
                let wanted = (&*endpoint.service, &*endpoint.version, &endpoint.node);
                entry.key().cmp(&wanted)
            });
            // A node that left and came back has two entries, as its records are lost.
            if known.is_ok_and(|index| is_present(&entries[..existing], index)) {
                continue;
            }
            entries.push(Entry::new(endpoint, now, first_view.is_some()));
        }
        if let Some(view) = first_view {
            entries.extend(
                view.members()
                    .iter()
                    .filter_map(|member| departed(member, now)),
            );
        }
        entries.sort_by(|a, b| a.key().cmp(&b.key()));
        self.entries = entries;
    }

    fn entries_of(&self, service: &str, version: &str) -> &[Entry] {
        let key = |entry: &Entry| {
            (entry.service.as_str(), entry.version.as_str()).cmp(&(service, version))
        };
        let start = self.entries.partition_point(|entry| key(entry).is_lt());
        let length = self.entries[start..].partition_point(|entry| key(entry).is_eq());
        &self.entries[start..start + length]
    }
}

fn contains(endpoints: &[rc::Rc<Endpoint>], entry: &Entry) -> bool {
    let index = endpoints.binary_search_by(|endpoint| endpoint.node.cmp(&entry.node));
    index.is_ok_and(|index| {
        let endpoint = &endpoints[index];
        endpoint.service == entry.service && endpoint.version == entry.version
    })
}

/// Sort key of groups and owners.
pub(crate) fn group_key(endpoint: &Endpoint) -> (&str, &str, &units::Node) {
    (&endpoint.service, &endpoint.version, &endpoint.node)
}

/// Returns the indices of owners in `lower`, all ranked below `present`, that were the highest-ranked
/// ones before.
fn former_first_ranked(
    present: &Entry,
    lower: &[&Entry],
    window: time::Duration,
    now: time::Instant,
) -> Vec<usize> {
    let recent = |at: time::Instant| now.saturating_duration_since(at) < window;
    // None of the owners examined so far was present before this time.
    let mut bound = present.joined;
    let mut found = Vec::new();
    for (index, entry) in lower.iter().enumerate() {
        if !recent(bound) {
            break;
        }
        if present.initial && entry.initial {
            // Which of the two joined first is not known here.
            if entry.left.is_none() {
                found.push(index);
            }
        } else if entry.joined < bound {
            if entry.left.is_none_or(|left| left >= bound) {
                bound = entry.joined;
            }
            found.push(index);
        }
    }
    found
}

/// Returns the owner that the one at `index` notified of its keys: the next-ranked owner, if that was
/// the same one all the time.
fn backup_of(ranked: &[&Entry], index: usize) -> Option<Backup> {
    let owner = ranked[index];
    let left = owner.left.unwrap_or(owner.joined);
    for other in &ranked[index + 1..] {
        let was_present_before = other.joined <= owner.joined || (other.initial && owner.initial);
        let joined_after = other.joined >= left && !was_present_before;
        let left_before = other.left.is_some_and(|at| at <= owner.joined);
        if other.node == owner.node || joined_after || left_before {
            continue;
        }
        let is_still_present = other.left.is_none() && was_present_before;
        return is_still_present.then(|| Backup {
            node: other.node.clone(),
            joined: other.joined,
        });
    }
    None
}

/// Adds an owner that may have run a request; one that is already listed counts from its first time.
fn add_previous(
    previous: &mut Vec<PreviousOwner>,
    entry: &Entry,
    view: &View,
    backup: Option<Backup>,
) {
    if let Some(known) = previous.iter_mut().find(|known| known.node == entry.node) {
        known.joined = known.joined.min(entry.joined);
        if known.backup != backup {
            known.backup = None;
        }
        return;
    }
    previous.push(PreviousOwner {
        node: entry.node.clone(),
        address: record_address(view, entry),
        joined: entry.joined,
        backup,
    });
}

/// Whether the owner at `index`, or in an adjacent entry with the same key, has not left.
fn is_present(entries: &[Entry], index: usize) -> bool {
    let key = entries[index].key();
    let before = entries[..index]
        .iter()
        .rev()
        .take_while(|entry| entry.key() == key);
    let after = entries[index..]
        .iter()
        .take_while(|entry| entry.key() == key);
    before.chain(after).any(|entry| entry.left.is_none())
}

/// Returns the address at which the owner can be asked for its records; `None` if they are lost with it.
fn record_address(view: &View, entry: &Entry) -> Option<units::Address> {
    let member = view.member(&entry.node)?;
    let running = matches!(member.state, State::Alive | State::Suspect);
    running.then_some(member.mesh_address)
}

/// Returns an entry for a member that failed or left before this node knew it.
fn departed(member: &Member, now: time::Instant) -> Option<Entry> {
    let backend = member.backend.as_ref()?;
    if !matches!(member.state, State::Dead | State::Left) {
        return None;
    }
    Some(Entry {
        service: backend.service.clone(),
        version: backend.version.clone(),
        node: member.node.clone(),
        joined: now,
        left: Some(now),
        initial: true,
    })
}
