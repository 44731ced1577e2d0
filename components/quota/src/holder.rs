//! State of one wallet at the granter.

use units::{Node, Uptime};

/// State of one wallet at the granter.
#[derive(Debug, Clone)]
pub(crate) struct Holder {
    pub(crate) node: Node,
    /// Random number of the wallet's process.
    pub(crate) wallet: u64,
    /// Number of the last report.
    pub(crate) sequence: u64,
    /// Time until which its vote counts.
    pub(crate) vote: Uptime,
    /// Members that it knows.
    pub(crate) members: u32,
    /// Time at which its leases lapse.
    pub(crate) lapse: Uptime,
    /// Sorted by workspace.
    pub(crate) leases: Vec<Lease>,
}

/// Tokens of one workspace that a wallet may use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    pub(crate) workspace: u64,
    pub(crate) tokens: u32,
    /// Tokens that it wanted and did not get.
    pub(crate) unmet: u32,
}

impl Holder {
    pub(crate) fn new(node: Node, wallet: u64) -> Self {
        Self {
            node,
            wallet,
            sequence: 0,
            vote: Uptime::default(),
            members: 0,
            lapse: Uptime::default(),
            leases: Vec::new(),
        }
    }

    pub(crate) fn lease(&self, workspace: u64) -> Option<&Lease> {
        let index = self
            .leases
            .binary_search_by_key(&workspace, |lease| lease.workspace);
        index.ok().map(|index| &self.leases[index])
    }
}
