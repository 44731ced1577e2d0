//! State of quotas for diagnostics.

use compact_str::CompactString;
use serde::Serialize;

use crate::Counts;

units::record! {
    /// State of quotas for diagnostics.
    #[derive(Serialize)]
    pub struct Dump {
        /// Node that grants, as far as this one knows.
        pub granter: Option<units::Node>,
        /// Whether this node grants.
        pub granting: bool,
        /// Members whose votes count.
        pub electorate: usize,
        /// Counters.
        pub counts: Counts,
        /// Workspaces near their limit: at the granter by their buckets, elsewhere by refusals.
        pub near: Vec<Entry>,
    }

    /// A workspace near its limit.
    #[derive(Serialize)]
    pub struct Entry {
        /// Name of the workspace.
        pub workspace: CompactString,
        /// Tokens at this ingress.
        pub tokens: u32,
        /// At the granter: tokens that can be leased.
        pub level: Option<f64>,
        /// At the granter: tokens that are leased.
        pub leased: Option<u32>,
        /// Whether requests are refused here.
        pub refusing: bool,
    }
}
