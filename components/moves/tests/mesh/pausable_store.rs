//! Store whose calls can be paused before they are sent, like those of a paused process.

use std::cell;
use std::rc;
use std::time;

use platform::{Error, Events, Key, Listing, Object, Revision, Store};

/// Store whose calls wait while it is paused; clones share the state.
#[derive(Clone)]
pub(crate) struct PausableStore<S> {
    store: S,
    paused: rc::Rc<cell::Cell<bool>>,
    /// Whether the next write of a move pauses the store.
    pause_on_next_write: rc::Rc<cell::Cell<bool>>,
    held_writes: rc::Rc<cell::Cell<usize>>,
    /// Number of writes of moves that may still fail; of every three, one is lost and one loses its
    /// answer.
    lossy_writes: rc::Rc<cell::Cell<usize>>,
}

impl<S: Store> PausableStore<S> {
    pub(crate) fn new(store: S) -> Self {
        Self {
            store,
            paused: rc::Rc::default(),
            pause_on_next_write: rc::Rc::default(),
            held_writes: rc::Rc::default(),
            lossy_writes: rc::Rc::default(),
        }
    }

    /// Pauses the store at the next write of a move, which waits like every later call.
    pub(crate) fn pause_on_write(&self) {
        self.pause_on_next_write.set(true);
    }

    /// Loses two thirds of the next `count` writes of moves, or their answers.
    pub(crate) fn lose_writes(&self, count: usize) {
        self.lossy_writes.set(count);
    }

    /// Resumes all calls.
    pub(crate) fn resume(&self) {
        self.pause_on_next_write.set(false);
        self.paused.set(false);
    }

    /// Number of writes that were held back.
    pub(crate) fn held_writes(&self) -> usize {
        self.held_writes.get()
    }

    async fn wait_while_paused(&self) {
        while self.paused.get() {
            compio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }
}

impl<S: Store> Store for PausableStore<S> {
    async fn read(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.wait_while_paused().await;
        self.store.read(key).await
    }

    async fn create(&self, key: &Key, value: Vec<u8>) -> Result<Revision, Error> {
        self.wait_while_paused().await;
        self.store.create(key, value).await
    }

    async fn update(
        &self,
        key: &Key,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<Revision, Error> {
        if key.as_str().starts_with("move/") && self.pause_on_next_write.get() {
            self.paused.set(true);
            self.held_writes.set(self.held_writes.get() + 1);
        }
        self.wait_while_paused().await;
        let lossy_writes = self.lossy_writes.get();
        if lossy_writes == 0 || !key.as_str().starts_with("move/") {
            return self.store.update(key, expected, value).await;
        }
        self.lossy_writes.set(lossy_writes - 1);
        let lost = || Error::Unknown("lost".into());
        match lossy_writes % 3 {
            0 => self.store.update(key, expected, value).await,
            1 => Err(lost()),
            _ => {
                self.store.update(key, expected, value).await?;
                Err(lost())
            }
        }
    }

    async fn remove(&self, key: &Key, expected: Revision) -> Result<(), Error> {
        self.wait_while_paused().await;
        self.store.remove(key, expected).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.wait_while_paused().await;
        self.store.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: time::Duration,
    ) -> Result<Events, Error> {
        self.wait_while_paused().await;
        self.store.watch(prefix, from, wait).await
    }
}
