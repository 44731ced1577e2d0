//! What an ingress holds and knows.

use std::rc;

use compact_str::CompactString;
use routing::{Directory, Rotation, Table, Usual};

use super::reports::Reports;

/// What an ingress holds and knows.
pub(super) struct State {
    pub(super) table: rc::Rc<Table>,
    pub(super) directory: Directory,
    pub(super) rotation: Rotation,
    /// The versions of the last view were taken over with all moves known.
    pub(super) settled: bool,
    /// Usual latencies, sorted by route.
    pub(super) usual: Vec<(CompactString, rc::Rc<Usual>)>,
    pub(super) reports: Reports,
}

impl State {
    /// The usual latency of the route called `name`.
    pub(super) fn usual(&mut self, name: &CompactString) -> rc::Rc<Usual> {
        match self.usual.binary_search_by(|one| one.0.cmp(name)) {
            Ok(place) => self.usual[place].1.clone(),
            Err(place) => {
                let usual = rc::Rc::new(Usual::default());
                self.usual.insert(place, (name.clone(), usual.clone()));
                usual
            }
        }
    }

    /// Gives nothing new to backend servers that have said that they leave, whatever is announced of them.
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

    /// Forgets the usual latencies of routes that are gone.
    pub(super) fn forget_routes(&mut self, snapshot: &config::Snapshot) {
        self.usual.retain(|one| snapshot.route(&one.0).is_some());
    }
}
