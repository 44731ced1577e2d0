//! Limit of one workspace.

use compact_str::CompactString;
use xxhash_rust::xxh3;

use crate::Terms;

/// Hash by which nodes name a workspace to each other.
#[must_use]
pub fn hash(workspace: &str) -> u64 {
    xxh3::xxh3_64(workspace.as_bytes())
}

units::record! {
    /// Limit of one workspace.
    pub struct Limit {
        /// Hash of its name.
        pub workspace: u64,
        /// Name of the workspace.
        pub name: CompactString,
        /// Tokens a second.
        pub rate: f64,
        /// Most tokens in the bucket and leased together.
        pub capacity: f64,
    }
}

impl Limit {
    /// Limits of the workspaces that have a rate, sorted by hash.
    #[must_use]
    pub fn of(workspaces: &[config::Workspace], terms: &Terms) -> Vec<Self> {
        let limited = workspaces.iter().filter(|one| one.rate.0 > 0.0);
        let mut limits: Vec<_> = limited.map(|one| Self::new(one, terms)).collect();
        limits.sort_by_key(|limit| limit.workspace);
        limits
    }

    fn new(workspace: &config::Workspace, terms: &Terms) -> Self {
        let (rate, burst) = (workspace.rate.0, f64::from(workspace.burst));
        Self {
            workspace: hash(&workspace.name),
            name: workspace.name.clone(),
            rate,
            capacity: terms.capacity(rate, burst),
        }
    }
}
