//! What other nodes have announced.

use schema::distribution as wire;

/// What one node has announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Announced {
    /// Highest version that it ever announced, over its restarts.
    pub(crate) highest: units::Version,
    /// Version that the running process announced last.
    pub(crate) current: units::Version,
    /// Start of that process.
    started_ms: u64,
}

/// What other nodes have announced, sorted by node.
#[derive(Debug, Default)]
pub(crate) struct Known {
    entries: Vec<(units::Node, Announced)>,
}

impl Known {
    /// Most nodes that are remembered.
    const LIMIT: usize = 32_768;

    /// Number of nodes remembered.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// What `node` has announced.
    pub(crate) fn get(&self, node: &units::Node) -> Option<Announced> {
        let place = self.place(node).ok()?;
        Some(self.entries[place].1)
    }

    /// Remembers `standing` of `node`; `false` where a ready node has fallen below what it held.
    pub(crate) fn note(&mut self, node: &units::Node, standing: wire::Standing) -> bool {
        let version = units::Version(standing.version);
        let announced = Announced {
            highest: version,
            current: version,
            started_ms: standing.started_ms,
        };
        match self.place(node) {
            Ok(place) => note(&mut self.entries[place].1, announced, standing.ready),
            Err(place) => {
                if self.entries.len() < Self::LIMIT {
                    self.entries.insert(place, (node.clone(), announced));
                }
                true
            }
        }
    }

    /// Forgets nodes that `is_member` does not know, once there are many.
    pub(crate) fn prune(&mut self, is_member: impl Fn(&units::Node) -> bool) {
        if self.entries.len() >= Self::LIMIT / 2 {
            self.entries.retain(|(node, _)| is_member(node));
        }
    }

    fn place(&self, node: &units::Node) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.0.cmp(node))
    }
}

fn note(held: &mut Announced, new: Announced, ready: bool) -> bool {
    if new.started_ms < held.started_ms {
        // A message of the process before; its node has restarted since.
        return true;
    }
    let restarted = new.started_ms > held.started_ms;
    let fell = restarted && ready && new.current < held.highest;
    held.started_ms = new.started_ms;
    held.current = if restarted {
        new.current
    } else {
        held.current.max(new.current)
    };
    held.highest = held.highest.max(new.highest);
    !fell
}
