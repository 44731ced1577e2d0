//! Objects with their latest deltas.

use platform::{Object, Revision};

use crate::Delta;

/// An object and its latest deltas, which are sent to nodes that have an earlier value.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) object: Object,
    /// Each delta is based on the revision of the one before; the last one yields the object.
    deltas: Vec<Delta>,
}

impl Entry {
    /// Number of deltas that are kept.
    const LIMIT: usize = 16;

    pub(crate) fn new(object: Object) -> Self {
        let deltas = Vec::new();
        Self { object, deltas }
    }

    /// Replaces the object by a newer value read from the store.
    pub(crate) fn replace(&mut self, object: Object) {
        let base = Some((self.object.revision, self.object.value.as_slice()));
        match Delta::new(base, object.revision, &object.value) {
            Some(delta) => self.push(delta),
            None => self.deltas.clear(),
        }
        self.object = object;
    }

    /// Replaces the object by a newer value received with the deltas that lead to it.
    pub(crate) fn advance(&mut self, object: Object, deltas: &[Delta]) {
        let held = self.object.revision;
        match deltas.iter().position(|delta| delta.base == Some(held)) {
            Some(index) => deltas[index..]
                .iter()
                .for_each(|delta| self.push(delta.clone())),
            None => self.deltas.clear(),
        }
        self.object = object;
    }

    /// Deltas for a node that has all changes up to `after`; the full value if the deltas do not
    /// reach back that far.
    pub(crate) fn deltas_after(&self, after: Option<Revision>) -> Vec<Delta> {
        let is_next = |delta: &Delta| {
            let base = delta.base.unwrap_or_default();
            after.is_some_and(|after| base <= after && after < delta.revision)
        };
        if let Some(index) = self.deltas.iter().position(is_next) {
            return self.deltas[index..].to_vec();
        }
        let full = Delta::new(None, self.object.revision, &self.object.value);
        full.into_iter().collect()
    }

    fn push(&mut self, delta: Delta) {
        self.deltas.push(delta);
        let excess = self.deltas.len().saturating_sub(Self::LIMIT);
        self.deltas.drain(..excess);
    }
}
