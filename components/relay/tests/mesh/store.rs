//! Access of one node to the store, with injected faults.

use std::cell;
use std::future;
use std::rc;
use std::time;

use platform::{Era, Error, Events, Key, Listing, Object, Revision};

/// Access of one node to the store; while it is disconnected, its calls receive no answer.
#[derive(Clone)]
pub(crate) struct NodeStore {
    pub(crate) store: fakes::Store,
    pub(crate) disconnected: rc::Rc<cell::Cell<bool>>,
    /// Number of calls, except for stale listings.
    pub(crate) calls: rc::Rc<cell::Cell<u32>>,
}

impl NodeStore {
    /// Longest time that a call waits for its answer; replaces the timeout of the client.
    const TIMEOUT: time::Duration = time::Duration::from_millis(500);

    async fn call<T>(
        &self,
        limit: time::Duration,
        request: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        self.calls.set(self.calls.get() + 1);
        let disconnected = self.disconnected.clone();
        let answered = async move {
            let answer = request.await;
            if disconnected.get() {
                future::pending::<()>().await;
            }
            answer
        };
        let answer = compio::time::timeout(limit + Self::TIMEOUT, answered).await;
        answer.unwrap_or_else(|_| Err(Error::Unknown("call timed out".into())))
    }
}

impl platform::Store for NodeStore {
    async fn read(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.call(time::Duration::ZERO, self.store.read(key)).await
    }

    async fn create(&self, key: &Key, value: Vec<u8>) -> Result<Revision, Error> {
        let created = self.store.create(key, value);
        self.call(time::Duration::ZERO, created).await
    }

    async fn update(
        &self,
        key: &Key,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<Revision, Error> {
        let updated = self.store.update(key, expected, value);
        self.call(time::Duration::ZERO, updated).await
    }

    async fn remove(&self, key: &Key, expected: Revision) -> Result<(), Error> {
        let removed = self.store.remove(key, expected);
        self.call(time::Duration::ZERO, removed).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let listed = self.store.list(prefix);
        self.call(time::Duration::ZERO, listed).await
    }

    async fn list_stale(&self, prefix: &str) -> Result<Listing, Error> {
        let calls = self.calls.get();
        let listed = self.store.list_stale(prefix);
        let listing = self.call(time::Duration::ZERO, listed).await;
        self.calls.set(calls);
        listing
    }

    fn era(&self) -> Era {
        self.store.era()
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: time::Duration,
    ) -> Result<Events, Error> {
        let watched = self.store.watch(prefix, from, wait);
        self.call(wait, watched).await
    }
}
