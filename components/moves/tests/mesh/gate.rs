//! A store whose calls can be held back before they are sent, as those of a paused process.

use std::cell;
use std::rc;
use std::time;

use platform::{Error, Events, Key, Listing, Object, Revision, Store};

/// A store whose calls wait while the gate is closed; clones share the gate.
#[derive(Clone)]
pub(crate) struct Gate<S> {
    store: S,
    closed: rc::Rc<cell::Cell<bool>>,
    /// Whether the next write of a move closes the gate.
    armed: rc::Rc<cell::Cell<bool>>,
    waiting: rc::Rc<cell::Cell<usize>>,
    /// Writes of moves until the lossy time is over; of three one loses its answer, one is lost.
    lossy: rc::Rc<cell::Cell<usize>>,
}

impl<S: Store> Gate<S> {
    pub(crate) fn new(store: S) -> Self {
        Self {
            store,
            closed: rc::Rc::default(),
            armed: rc::Rc::default(),
            waiting: rc::Rc::default(),
            lossy: rc::Rc::default(),
        }
    }

    /// Holds the next write of a move back, and every call from then on.
    pub(crate) fn arm(&self) {
        self.armed.set(true);
    }

    /// Loses most of the next `count` writes of moves or their answers.
    pub(crate) fn lose(&self, count: usize) {
        self.lossy.set(count);
    }

    /// Lets all calls go.
    pub(crate) fn open(&self) {
        self.armed.set(false);
        self.closed.set(false);
    }

    /// Writes that are held back.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.get()
    }

    async fn pass(&self) {
        while self.closed.get() {
            compio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }
}

impl<S: Store> Store for Gate<S> {
    async fn read(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.pass().await;
        self.store.read(key).await
    }

    async fn create(&self, key: &Key, value: Vec<u8>) -> Result<Revision, Error> {
        self.pass().await;
        self.store.create(key, value).await
    }

    async fn update(
        &self,
        key: &Key,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<Revision, Error> {
        if key.as_str().starts_with("move/") && self.armed.get() {
            self.closed.set(true);
            self.waiting.set(self.waiting.get() + 1);
        }
        self.pass().await;
        let lossy = self.lossy.get();
        if lossy == 0 || !key.as_str().starts_with("move/") {
            return self.store.update(key, expected, value).await;
        }
        self.lossy.set(lossy - 1);
        let lost = || Error::Unknown("lost".into());
        match lossy % 3 {
            0 => self.store.update(key, expected, value).await,
            1 => Err(lost()),
            _ => {
                self.store.update(key, expected, value).await?;
                Err(lost())
            }
        }
    }

    async fn remove(&self, key: &Key, expected: Revision) -> Result<(), Error> {
        self.pass().await;
        self.store.remove(key, expected).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.pass().await;
        self.store.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: time::Duration,
    ) -> Result<Events, Error> {
        self.pass().await;
        self.store.watch(prefix, from, wait).await
    }
}
