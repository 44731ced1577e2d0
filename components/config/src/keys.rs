//! The workspaces of all keys.

use crate::{Findings, Workspace, key};

/// Which workspace each key belongs to.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Keys {
    /// Digest and index of the workspace, sorted by digest.
    entries: Vec<(key::Digest, usize)>,
}

impl Keys {
    /// Collects the keys of `workspaces`; a key that stands in two of them is a finding.
    pub(crate) fn new(workspaces: &[Workspace], findings: &mut Findings) -> Self {
        let each = workspaces.iter().enumerate();
        let pairs = each.flat_map(|(index, one)| one.keys.iter().map(move |key| (*key, index)));
        let mut entries: Vec<_> = pairs.collect();
        entries.sort_unstable();
        for pair in entries.windows(2) {
            if pair[0].0 == pair[1].0 {
                let (first, second) = (&workspaces[pair[0].1], &workspaces[pair[1].1]);
                let problem = format!("a key of `{}` stands in `{}`, too", first.name, second.name);
                let place = format!("/workspaces/{}/keys", second.name);
                findings.add(place, problem, "each key once");
            }
        }
        Self { entries }
    }

    /// Index of the workspace that holds the key.
    pub(crate) fn find(&self, key: &key::Digest) -> Option<usize> {
        let index = self.entries.binary_search_by(|entry| entry.0.cmp(key));
        index.ok().map(|index| self.entries[index].1)
    }
}
