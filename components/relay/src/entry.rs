//! Objects with their latest deltas.

use platform::{Key, Object, Revision};

use crate::Delta;

/// An object and its latest deltas, which are sent to nodes that have an earlier value.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) object: Object,
    /// Each delta is based on the revision of the one before; the last one yields the object.
    deltas: Vec<Delta>,
    /// Whether the object has been removed, at its revision.
    pub(crate) removed: bool,
}

impl Entry {
    /// Number of deltas that are kept.
    const LIMIT: usize = 16;

    pub(crate) fn new(object: Object) -> Self {
        let deltas = Vec::new();
        let removed = false;
        Self {
            object,
            deltas,
            removed,
        }
    }

    /// Creates the tombstone of an object that was removed at `revision`.
    pub(crate) fn tombstone(key: Key, revision: Revision) -> Self {
        let value = Vec::new();
        let object = Object {
            key,
            revision,
            value,
        };
        Self {
            removed: true,
            ..Self::new(object)
        }
    }

    /// Replaces the object by a newer value read from the store.
    pub(crate) fn replace(&mut self, object: Object) {
        if self.removed {
            *self = Self::new(object);
            return;
        }
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
        self.removed = false;
    }

    /// Deltas for a node that has all changes up to `after`; the full value if the deltas do not
    /// reach back that far.
    pub(crate) fn deltas_after(&self, after: Option<Revision>) -> Vec<Delta> {
        if self.removed {
            return Vec::new();
        }
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
