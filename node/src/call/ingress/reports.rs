//! Backend status reported in responses that this node has forwarded.

use std::rc;
use std::time;

use routing::Endpoint;

use crate::call::BackendStatus;

/// Backend status reported in responses that this node has forwarded.
///
/// An owner that restarts beside such a backend server has none of this knowledge.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// Reports, sorted by node and instance.
    entries: Vec<Report>,
}

#[derive(Debug)]
struct Report {
    /// Node of the backend server.
    node: units::Node,
    /// Instance number of the backend server, new at each start.
    instance: u64,
    rate: Option<units::Rate>,
    leaving: bool,
    /// Time at which the backend server last reported or was last seen in the mesh.
    seen: time::Instant,
}

impl Reports {
    /// Time for which the report of a backend server that is not in the mesh is kept.
    const RETENTION: time::Duration = time::Duration::from_secs(120);

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the backend status reported by the owner `node`.
    pub(super) fn record(
        &mut self,
        node: &units::Node,
        status: &BackendStatus,
        now: time::Instant,
    ) {
        let report = Report {
            node: node.clone(),
            instance: status.instance,
            rate: status.rate,
            leaving: status.leaving || self.is_leaving(node, status.instance),
            seen: now,
        };
        match self.find(node, status.instance) {
            Ok(index) => self.entries[index] = report,
            Err(index) => self.entries.insert(index, report),
        }
    }

    /// Clears the rate limit of `instance` at `node`, whose response carried no status.
    pub(super) fn clear_rate(&mut self, node: &units::Node, instance: u64) {
        if let Ok(index) = self.find(node, instance) {
            self.entries[index].rate = None;
        }
    }

    /// Returns whether `instance` of the backend server at `node` has reported that it is leaving.
    pub(super) fn is_leaving(&self, node: &units::Node, instance: u64) -> bool {
        let index = self.find(node, instance);
        index.is_ok_and(|index| self.entries[index].leaving)
    }

    /// Returns the status to send to the owner `node` about `instance` of its backend server.
    pub(super) fn status(&self, node: &units::Node, instance: u64) -> Option<BackendStatus> {
        let report = &self.entries[self.find(node, instance).ok()?];
        report.rate?;
        Some(BackendStatus {
            instance,
            rate: report.rate,
            turn: time::Duration::ZERO,
            leaving: false,
        })
    }

    /// Removes expired reports; `endpoints` are the backend servers in the mesh.
    pub(super) fn prune(&mut self, endpoints: &[rc::Rc<Endpoint>], now: time::Instant) {
        if self.entries.is_empty() {
            return;
        }
        for endpoint in endpoints {
            if let Ok(index) = self.find(&endpoint.node, endpoint.instance) {
                self.entries[index].seen = now;
            }
        }
        let is_kept =
            |report: &Report| now.saturating_duration_since(report.seen) < Self::RETENTION;
        self.entries.retain(is_kept);
    }

    fn find(&self, node: &units::Node, instance: u64) -> Result<usize, usize> {
        let order = |one: &Report| (&one.node, one.instance).cmp(&(node, instance));
        self.entries.binary_search_by(order)
    }
}
