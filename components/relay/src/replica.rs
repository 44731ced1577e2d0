//! View of the store that reads from the feeds of the relay.

use std::cell;
use std::pin;
use std::rc;
use std::time;

use futures_util::future::{self, Either};
use platform::{Era, Error, Event, Events, Key, Listing, Object, Revision, Store};

use crate::Feed;
use crate::shared::Shared;

/// A store that reads the prefixes of the relay from its feeds and passes all other calls on.
///
/// Clones share their state.
pub struct Replica<S, L> {
    shared: rc::Rc<Shared<S, L>>,
    /// Newest revision that this reader has got; a second listing means that it knows of a newer change.
    read: rc::Rc<cell::Cell<Option<Revision>>>,
    /// Number of adopted objects that this reader has got.
    adopted: rc::Rc<cell::Cell<usize>>,
}

impl<S, L> Clone for Replica<S, L> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            read: self.read.clone(),
            adopted: self.adopted.clone(),
        }
    }
}

impl<S: Store, L: peer::Link> Replica<S, L> {
    pub(crate) fn new(shared: rc::Rc<Shared<S, L>>) -> Self {
        Self {
            shared,
            read: rc::Rc::default(),
            adopted: rc::Rc::default(),
        }
    }

    /// Records that the reader takes the changes up to `revision`: it does so before any other task runs.
    fn apply(&self, prefix: &str, revision: Revision) {
        if self.shared.is_proven(prefix) {
            self.shared.certainty.apply(revision);
        }
    }

    /// Fetches a change that another node is known to have: from other nodes, then from the store.
    async fn refresh(&self, prefix: &str) -> Result<(), Error> {
        if self.shared.pull_changes().await {
            return Ok(());
        }
        self.shared.count(|counts| counts.reads += 1);
        let started = time::Instant::now();
        let listing = self.shared.parts.store.list(prefix).await;
        log::info!(event = "store-read", prefix = prefix, took_ms = units::millis(started.elapsed()),
            answered = listing.is_ok(); "the store was read for a change that another node has");
        let listing = listing?;
        self.shared
            .merge_read(prefix, |feed| feed.merge_listing(listing));
        Ok(())
    }
}

impl<S: Store, L: peer::Link> Store for Replica<S, L> {
    async fn read(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.shared.parts.store.read(key).await
    }

    async fn create(&self, key: &Key, value: Vec<u8>) -> Result<Revision, Error> {
        self.shared.parts.store.create(key, value).await
    }

    async fn update(
        &self,
        key: &Key,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<Revision, Error> {
        self.shared.parts.store.update(key, expected, value).await
    }

    async fn remove(&self, key: &Key, expected: Revision) -> Result<(), Error> {
        self.shared.parts.store.remove(key, expected).await
    }

    /// Waits until the feed of the prefix has been read.
    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let Some(feed) = self.shared.feed(prefix) else {
            return self.shared.parts.store.list(prefix).await;
        };
        if let Some(read) = self.read.get() {
            let newer = pin::pin!(wait_for_newer(feed, Some(read)));
            let refreshed = pin::pin!(self.refresh(prefix));
            if let Either::Left((result, _)) = future::select(refreshed, newer).await {
                result?;
            }
        }
        let listing = wait_for_newer(feed, None).await;
        self.read.set(Some(listing.revision));
        self.adopted.set(feed.borrow().adoptions());
        self.apply(prefix, listing.revision);
        Ok(listing)
    }

    fn era(&self) -> Era {
        self.shared.parts.store.era()
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: time::Duration,
    ) -> Result<Events, Error> {
        let Some(feed) = self.shared.feed(prefix) else {
            return self.shared.parts.store.watch(prefix, from, wait).await;
        };
        let deadline = time::Instant::now() + wait;
        loop {
            let changed = {
                let mut feed = feed.borrow_mut();
                let mut events = feed.events_after(from);
                let adopted = feed.adopted_after(self.adopted.get());
                events.extend(adopted.into_iter().map(Event::Put));
                self.adopted.set(feed.adoptions());
                let remaining = deadline.saturating_duration_since(time::Instant::now());
                if !events.is_empty() || remaining.is_zero() {
                    let revision = feed.head().unwrap_or(from);
                    self.read.set(self.read.get().max(Some(revision)));
                    self.apply(prefix, revision);
                    return Ok(Events { revision, events });
                }
                compio::time::timeout(remaining, feed.subscribe())
            };
            // The feed is checked again after a notification and after the timeout.
            let _ = changed.await;
        }
    }
}

/// Waits until `feed` has a head after `read`.
async fn wait_for_newer(feed: &cell::RefCell<Feed>, read: Option<Revision>) -> Listing {
    loop {
        let changed = {
            let mut feed = feed.borrow_mut();
            if let Some(revision) = feed.head().filter(|head| Some(*head) > read) {
                let objects = feed.objects();
                return Listing { revision, objects };
            }
            feed.subscribe()
        };
        // The feed is checked again even if the sender was dropped.
        let _ = changed.await;
    }
}
