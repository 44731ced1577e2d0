//! Versions announced by other nodes.

use schema::distribution as wire;

/// Versions announced by one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerVersion {
    /// Highest version announced, across restarts.
    pub(crate) highest: units::Version,
    /// Version last announced by the running process.
    pub(crate) current: units::Version,
    /// Start time of the running process.
    started_ms: u64,
}

/// Versions announced by other nodes, sorted by node.
#[derive(Debug, Default)]
pub(crate) struct PeerVersions {
    entries: Vec<(units::Node, PeerVersion)>,
}

impl PeerVersions {
    /// Maximum number of nodes recorded.
    const LIMIT: usize = 32_768;

    /// Returns the number of nodes recorded.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the versions announced by `node`.
    pub(crate) fn get(&self, node: &units::Node) -> Option<PeerVersion> {
        let index = self.position(node).ok()?;
        Some(self.entries[index].1)
    }

    /// Records `standing` of `node`; returns `false` if a ready node fell below its earlier version.
    pub(crate) fn record(&mut self, node: &units::Node, standing: wire::Standing) -> bool {
        let version = units::Version(standing.version);
        let announced = PeerVersion {
            highest: version,
            current: version,
            started_ms: standing.started_ms,
        };
        match self.position(node) {
            Ok(index) => update(&mut self.entries[index].1, announced, standing.ready),
            Err(index) => {
                if self.entries.len() < Self::LIMIT {
                    self.entries.insert(index, (node.clone(), announced));
                }
                true
            }
        }
    }

    /// Removes nodes for which `is_member` is false, once half of the limit is reached.
    pub(crate) fn prune(&mut self, is_member: impl Fn(&units::Node) -> bool) {
        if self.entries.len() >= Self::LIMIT / 2 {
            self.entries.retain(|(node, _)| is_member(node));
        }
    }

    fn position(&self, node: &units::Node) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.0.cmp(node))
    }
}

fn update(recorded: &mut PeerVersion, new: PeerVersion, ready: bool) -> bool {
    if new.started_ms < recorded.started_ms {
        // The message is from a previous process; the node has restarted since.
        return true;
    }
    let restarted = new.started_ms > recorded.started_ms;
    let decreased = restarted && ready && new.current < recorded.highest;
    recorded.started_ms = new.started_ms;
    recorded.current = if restarted {
        new.current
    } else {
        recorded.current.max(new.current)
    };
    recorded.highest = recorded.highest.max(new.highest);
    !decreased
}
