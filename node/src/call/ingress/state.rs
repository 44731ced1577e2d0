//! State of an ingress.

use std::rc;

use compact_str::CompactString;
use routing::{Baseline, Directory, RoundRobin, Splits, Table, Withheld};

use super::reports::Reports;

/// State of an ingress.
pub(super) struct State {
    pub(super) table: rc::Rc<Table>,
    pub(super) directory: Directory,
    pub(super) round_robin: RoundRobin,
    /// Changes of the splits and of the withheld versions when the versions of the last membership view were
    /// observed.
    pub(super) versions_observed: Option<(u64, u64)>,
    /// Usual latencies, sorted by route.
    pub(super) baselines: Vec<(CompactString, rc::Rc<Baseline>)>,
    pub(super) reports: Reports,
}

impl State {
    /// Returns the usual latency of the route `name`.
    pub(super) fn baseline(&mut self, name: &CompactString) -> rc::Rc<Baseline> {
        match self.baselines.binary_search_by(|one| one.0.cmp(name)) {
            Ok(index) => self.baselines[index].1.clone(),
            Err(index) => {
                let baseline = rc::Rc::new(Baseline::default());
                self.baselines
                    .insert(index, (name.clone(), baseline.clone()));
                baseline
            }
        }
    }

    /// Lets the versions that are ready take the traffic that no other does, where the members have `changed`, or
    /// what moves say of versions.
    ///
    /// The configuration has no part in that: it may name a service long after its versions are known.
    pub(super) fn observe_versions(&mut self, splits: &Splits, withheld: &Withheld, changed: bool) {
        let observed = Some((splits.changes(), withheld.changes()));
        if !changed && self.versions_observed == observed {
            return;
        }
        self.versions_observed = observed;
        for service in self.directory.services() {
            let ready = self.directory.ready_versions(service);
            let remote = self.directory.versions_elsewhere(service);
            let is_allowed = |version: &str| !withheld.contains(service, version);
            splits.update_ready(service, &ready, &remote, is_allowed);
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
                endpoint.mark_leaving();
            }
        }
    }

    /// Removes the usual latencies of routes that no longer exist.
    pub(super) fn prune_routes(&mut self, snapshot: &config::Snapshot) {
        self.baselines
            .retain(|one| snapshot.route(&one.0).is_some());
    }
}
