//! Holds the configuration of a store that keeps it whole in one object.

use std::cell;
use std::rc;
use std::time;

use config::{Findings, Snapshot};
use platform::{Backoff, Error, Event, Key, Object, Revision, Store};
use serde::{Deserialize, Serialize};

use crate::Holder;

units::record! {
    /// Settings of the mirror.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Longest time that one watch waits; a watch that has gone silent is noticed after it.
        pub watch_wait: units::Period,
        /// Pause after a change, which bounds the calls of a burst of changes.
        pub watch_pause: units::Period,
        /// First wait after a failed call; it doubles up to the longest.
        pub retry_least: units::Period,
        /// Longest wait after failed calls.
        pub retry_most: units::Period,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            watch_wait: units::Period::from_secs(3),
            watch_pause: units::Period::from_millis(400),
            retry_least: units::Period::from_millis(100),
            retry_most: units::Period::from_millis(800),
        }
    }
}

/// Reads a configuration out of an object of the store.
pub trait Decode: 'static {
    /// The configuration in the object's value.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    fn decode(&self, value: &[u8]) -> Result<Snapshot, Findings>;
}

/// Holds the configuration of a store whose operators write it whole into one object.
///
/// The store's answer is the acceptance, so that there is no log of changes. A configuration that
/// does not check is not put in force, and the one before it stays.
pub struct Mirror<S, D> {
    store: S,
    key: Key,
    decode: D,
    holder: Holder,
    settings: Settings,
    counts: Handle,
    /// Since when the object cannot be watched.
    lost: cell::Cell<Option<time::Instant>>,
}

/// Figures of a mirror; clones read the same.
#[derive(Clone, Default)]
pub struct Handle {
    counts: rc::Rc<cell::Cell<Counts>>,
}

units::record! { eq:
    /// Figures of a mirror since its start.
    #[derive(Copy, Default, Serialize)]
    pub struct Counts {
        /// Configurations put in force.
        pub adopted: u64,
        /// Configurations that did not check.
        pub refused: u64,
        /// Calls to the store that failed.
        pub failed: u64,
    }
}

impl Handle {
    /// The figures.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    fn count(&self, add: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }
}

impl<S: Store, D: Decode> Mirror<S, D> {
    /// Puts what `store` has at `key` in force in `holder`.
    #[must_use]
    pub fn new(store: S, key: Key, decode: D, holder: Holder, settings: Settings) -> Self {
        Self {
            store,
            key,
            decode,
            holder,
            settings,
            counts: Handle::default(),
            lost: cell::Cell::new(None),
        }
    }

    /// Reads the figures, also while the mirror runs.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.counts.clone()
    }

    /// Keys below which the object stands, up to the last slash.
    fn prefix(&self) -> &str {
        let key = self.key.as_str();
        key.rfind('/').map_or("", |place| &key[..=place])
    }

    /// Reads the object, then watches it until a call fails.
    async fn follow(&self, backoff: &mut Backoff) -> Result<(), Error> {
        let mut from = self.read().await?;
        backoff.reset();
        if let Some(lost) = self.lost.take() {
            let gone = u64::try_from(lost.elapsed().as_millis()).unwrap_or(u64::MAX);
            log::info!(event = "store-regained", reader = "mirror", gone_ms = gone; "the configuration is watched again");
        }
        loop {
            let wait = self.settings.watch_wait.0;
            let events = self.store.watch(self.prefix(), from, wait).await?;
            from = events.revision.max(from);
            let changed = events.events.iter().rev().find_map(|event| match event {
                Event::Put(object) if object.key == self.key => Some(object),
                _ => None,
            });
            if let Some(object) = changed {
                self.adopt(object);
                compio::time::sleep(self.settings.watch_pause.0).await;
            }
        }
    }

    async fn read(&self) -> Result<Revision, Error> {
        let listing = self.store.list(self.prefix()).await?;
        let mut objects = listing.objects.iter();
        if let Some(object) = objects.find(|object| object.key == self.key) {
            self.adopt(object);
        }
        Ok(listing.revision)
    }

    fn adopt(&self, object: &Object) {
        match self.decode.decode(&object.value) {
            Ok(snapshot) => {
                let version = snapshot.version();
                if self.holder.advance(snapshot) {
                    self.counts.count(|counts| counts.adopted += 1);
                    log::info!(version = version.0, revision = object.revision.0; "configuration in force");
                }
            }
            Err(findings) => {
                self.counts.count(|counts| counts.refused += 1);
                let findings = findings.to_string();
                log::error!(revision = object.revision.0, findings = findings.as_str(); "configuration refused");
            }
        }
    }
}

impl<S: Store, D: Decode> kernel::Service for Mirror<S, D> {
    const NAME: &'static str = "mirror";

    async fn run(self, stop: kernel::Stop) {
        let (least, most) = (self.settings.retry_least.0, self.settings.retry_most.0);
        let mut backoff = Backoff::new(least, most);
        while let Some(ended) = stop.guard(self.follow(&mut backoff)).await {
            let Err(error) = ended else {
                continue;
            };
            self.counts.count(|counts| counts.failed += 1);
            if error != Error::Gone && self.lost.get().is_none() {
                self.lost.set(Some(time::Instant::now()));
                log::warn!(event = "store-lost", reader = "mirror", error:% = error; "the configuration cannot be watched");
            }
            let least = match error {
                Error::Throttled(least) => least.min(most),
                _ => time::Duration::ZERO,
            };
            if !stop
                .sleep(least + backoff.next_wait(&mut rand::rng()))
                .await
            {
                return;
            }
        }
    }
}
