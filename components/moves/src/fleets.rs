//! Follows the backend servers of both versions of a move.

use std::time;

use compact_str::CompactString;
use membership::{Backend, Phase, View};

use crate::index::Index;
use crate::shared::is_running;
use crate::{Fleet, Record};

/// Backend servers of both versions, as they were last seen.
#[derive(Debug, Default)]
pub(crate) struct Fleets {
    /// Sorted by node.
    seen: Vec<Seen>,
    last: Option<time::Instant>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    node: units::Node,
    version: CompactString,
    instance: u64,
}

/// What has changed since the last look.
#[derive(Debug, Default)]
pub(crate) struct Change {
    pub(crate) old: Fleet,
    pub(crate) new: Fleet,
    pub(crate) elapsed: time::Duration,
    /// Whether a backend server of the new version has become ready.
    pub(crate) is_started: bool,
}

impl Fleets {
    /// Compares `view`, with its `index`, with what was seen before.
    pub(crate) fn look(
        &mut self,
        record: &Record,
        view: &View,
        index: &Index,
        now: time::Instant,
    ) -> Change {
        let mut change = Change {
            elapsed: now.saturating_duration_since(self.last.unwrap_or(now)),
            ..Change::default()
        };
        let current = ready(record, index);
        for seen in &self.seen {
            if is_crash(seen, view) {
                fleet(&mut change, record, &seen.version).crashed += 1;
            }
        }
        for seen in &current {
            fleet(&mut change, record, &seen.version).ready += 1;
            let is_new = self.last.is_some() && !self.seen.contains(seen);
            change.is_started |= is_new && seen.version == record.to;
        }
        self.seen = current;
        self.last = Some(now);
        change
    }
}

fn fleet<'a>(change: &'a mut Change, record: &Record, version: &str) -> &'a mut Fleet {
    if record.to == version {
        &mut change.new
    } else {
        &mut change.old
    }
}

/// The ready backend servers of both versions.
fn ready(record: &Record, index: &Index) -> Vec<Seen> {
    let meant = |backend: &&Backend| {
        let is_version = backend.version == record.from || backend.version == record.to;
        backend.service == record.service() && is_version && backend.phase == Phase::Ready
    };
    let members = index.of_service(record.service()).iter();
    let seen = members.filter_map(|member| {
        let backend = member.backend.as_ref().filter(meant)?;
        Some(Seen {
            node: member.node.clone(),
            version: backend.version.clone(),
            instance: backend.instance,
        })
    });
    seen.collect()
}

/// Whether a backend server has gone without draining while the node beside it runs on.
///
/// When the node is gone too, its VM or network has failed, which is not the version's fault.
fn is_crash(seen: &Seen, view: &View) -> bool {
    let Some(member) = view.member(&seen.node).filter(|member| is_running(member)) else {
        return false;
    };
    match &member.backend {
        Some(backend) => backend.instance != seen.instance,
        None => true,
    }
}
