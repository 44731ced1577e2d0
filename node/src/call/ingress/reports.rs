//! What backend servers have said of themselves with answers that this node has passed on.

use std::rc;
use std::time;

use routing::Endpoint;

use crate::call::Need;

/// What backend servers have said of themselves with answers that this node has passed on.
///
/// An owner that starts anew beside such a backend server knows none of it.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// Sorted by node and instance.
    known: Vec<Report>,
}

#[derive(Debug)]
struct Report {
    /// The node beside it.
    node: units::Node,
    /// Number of its start.
    instance: u64,
    rate: Option<units::Rate>,
    leaving: bool,
    /// When it was last heard of, or seen in the mesh.
    seen: time::Instant,
}

impl Reports {
    /// Time for which a backend server that is not in the mesh is remembered.
    const KEPT: time::Duration = time::Duration::from_secs(120);

    /// Whether nothing is known.
    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The owner `node` has told of its backend server.
    pub(super) fn hear(&mut self, node: &units::Node, need: &Need, now: time::Instant) {
        let report = Report {
            node: node.clone(),
            instance: need.instance,
            rate: need.rate,
            leaving: need.leaving || self.is_leaving(node, need.instance),
            seen: now,
        };
        match self.place(node, need.instance) {
            Ok(place) => self.known[place] = report,
            Err(place) => self.known.insert(place, report),
        }
    }

    /// The start `instance` of the backend server beside `node` has answered and said nothing.
    pub(super) fn lift(&mut self, node: &units::Node, instance: u64) {
        if let Ok(place) = self.place(node, instance) {
            self.known[place].rate = None;
        }
    }

    /// Whether the start `instance` of the backend server beside `node` has said that it leaves.
    pub(super) fn is_leaving(&self, node: &units::Node, instance: u64) -> bool {
        let place = self.place(node, instance);
        place.is_ok_and(|place| self.known[place].leaving)
    }

    /// What the owner `node` is told of the start `instance` of its backend server.
    pub(super) fn need(&self, node: &units::Node, instance: u64) -> Option<Need> {
        let report = &self.known[self.place(node, instance).ok()?];
        report.rate?;
        Some(Need {
            instance,
            rate: report.rate,
            turn: time::Duration::ZERO,
            leaving: false,
        })
    }

    /// Forgets those that are long gone; the mesh has `endpoints`.
    pub(super) fn forget(&mut self, endpoints: &[rc::Rc<Endpoint>], now: time::Instant) {
        if self.known.is_empty() {
            return;
        }
        for endpoint in endpoints {
            if let Ok(place) = self.place(&endpoint.node, endpoint.instance) {
                self.known[place].seen = now;
            }
        }
        let is_kept = |report: &Report| now.saturating_duration_since(report.seen) < Self::KEPT;
        self.known.retain(is_kept);
    }

    fn place(&self, node: &units::Node, instance: u64) -> Result<usize, usize> {
        let order = |one: &Report| (&one.node, one.instance).cmp(&(node, instance));
        self.known.binary_search_by(order)
    }
}
