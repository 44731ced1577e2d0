//! Tracks the backend servers of both versions of a move.

use std::time;

use compact_str::CompactString;
use membership::{Backend, Phase, View};

use crate::index::Index;
use crate::shared::is_running;
use crate::{Fleet, Record};

/// Ready backend servers of both versions at the last update.
#[derive(Debug, Default)]
pub(crate) struct Fleets {
    /// Sorted by node.
    instances: Vec<Instance>,
    updated_at: Option<time::Instant>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Instance {
    node: units::Node,
    version: CompactString,
    instance: u64,
}

/// Changes between two updates.
#[derive(Debug, Default)]
pub(crate) struct Change {
    pub(crate) old: Fleet,
    pub(crate) new: Fleet,
    pub(crate) elapsed: time::Duration,
    /// Whether a backend server of the new version has become ready.
    pub(crate) is_started: bool,
}

impl Fleets {
    /// Compares `view` and its `index` with the previous update.
    pub(crate) fn update(
        &mut self,
        record: &Record,
        view: &View,
        index: &Index,
        now: time::Instant,
    ) -> Change {
        let mut change = Change {
            elapsed: now.saturating_duration_since(self.updated_at.unwrap_or(now)),
            ..Change::default()
        };
        let current = ready_instances(record, index);
        for instance in &self.instances {
            if is_crash(instance, view) {
                fleet_mut(&mut change, record, &instance.version).crashed += 1;
            }
        }
        for instance in &current {
            fleet_mut(&mut change, record, &instance.version).ready += 1;
            let is_new = self.updated_at.is_some() && !self.instances.contains(instance);
            change.is_started |= is_new && instance.version == record.to;
        }
        self.instances = current;
        self.updated_at = Some(now);
        change
    }
}

fn fleet_mut<'a>(change: &'a mut Change, record: &Record, version: &str) -> &'a mut Fleet {
    if record.to == version {
        &mut change.new
    } else {
        &mut change.old
    }
}

/// The ready backend servers of both versions.
fn ready_instances(record: &Record, index: &Index) -> Vec<Instance> {
    let is_relevant = |backend: &&Backend| {
        let is_version = backend.version == record.from || backend.version == record.to;
        backend.service == record.service() && is_version && backend.phase == Phase::Ready
    };
    let members = index.of_service(record.service()).iter();
    let instances = members.filter_map(|member| {
        let backend = member.backend.as_ref().filter(is_relevant)?;
        Some(Instance {
            node: member.node.clone(),
            version: backend.version.clone(),
            instance: backend.instance,
        })
    });
    instances.collect()
}

/// Whether a backend server has disappeared without draining while the node beside it is running.
///
/// If the node has disappeared as well, its VM or network has failed, which says nothing about the
/// version.
fn is_crash(instance: &Instance, view: &View) -> bool {
    let Some(member) = view
        .member(&instance.node)
        .filter(|member| is_running(member))
    else {
        return false;
    };
    match &member.backend {
        Some(backend) => backend.instance != instance.instance,
        None => true,
    }
}
