//! State of an ingress.

use std::rc;

use compact_str::CompactString;
use routing::{Directory, Rotation, Table, Usual};

use super::reports::Reports;

/// State of an ingress.
pub(super) struct State {
    pub(super) table: rc::Rc<Table>,
    pub(super) directory: Directory,
    pub(super) rotation: Rotation,
    /// Whether the versions of the last membership view were observed with all moves known.
    pub(super) splits_observed: bool,
    /// Usual latencies, sorted by route.
    pub(super) usual: Vec<(CompactString, rc::Rc<Usual>)>,
    pub(super) reports: Reports,
}

impl State {
    /// Returns the usual latency of the route `name`.
    pub(super) fn usual(&mut self, name: &CompactString) -> rc::Rc<Usual> {
        match self.usual.binary_search_by(|one| one.0.cmp(name)) {
            Ok(index) => self.usual[index].1.clone(),
            Err(index) => {
                let usual = rc::Rc::new(Usual::default());
                self.usual.insert(index, (name.clone(), usual.clone()));
                usual
            }
        }
    }

    /// Stops sending new requests to backend servers that have reported in a response that they are
    /// leaving, whatever they announce.
    pub(super) fn mark_leaving(&self) {
        if self.reports.is_empty() {
            return;
        }
        for endpoint in self.directory.endpoints() {
            if self.reports.is_leaving(&endpoint.node, endpoint.instance) {
                endpoint.leave();
            }
        }
    }

    /// Removes the usual latencies of routes that no longer exist.
    pub(super) fn prune_routes(&mut self, snapshot: &config::Snapshot) {
        self.usual.retain(|one| snapshot.route(&one.0).is_some());
    }
}
