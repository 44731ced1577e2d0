//! The object API as the services use it.

use std::time;

use crate::{Era, Error, Events, Key, Listing, Object, Revision};

/// Versioned objects with conditional updates; clones share the connection and the limits.
pub trait Store: Clone + 'static {
    /// Reads an object; `None` where there is none.
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<Object>, Error>>;

    /// Creates an object; [`Error::Conflict`] when it exists.
    fn create(&self, key: &Key, value: Vec<u8>) -> impl Future<Output = Result<Revision, Error>>;

    /// Replaces an object that is at `expected`; [`Error::Conflict`] when it is not.
    fn update(
        &self,
        key: &Key,
        expected: Revision,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<Revision, Error>>;

    /// Removes an object that is at `expected`; [`Error::Conflict`] when it is not.
    fn remove(&self, key: &Key, expected: Revision) -> impl Future<Output = Result<(), Error>>;

    /// Lists the objects whose key starts with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>>;

    /// Lists the objects whose key starts with `prefix` as they were, possibly some seconds ago.
    ///
    /// It costs the store less; for those whom an old answer does not harm.
    fn list_stale(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>> {
        self.list(prefix)
    }

    /// Era of the newest answer of the store.
    fn era(&self) -> Era {
        Era::default()
    }

    /// Waits up to `wait` for changes below `prefix` after revision `from`.
    ///
    /// [`Error::Gone`] when that history is not kept any more.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: time::Duration,
    ) -> impl Future<Output = Result<Events, Error>>;
}
