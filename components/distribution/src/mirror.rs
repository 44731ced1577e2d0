//! Holds the configuration of a store that keeps it whole in one object.

use std::cell;
use std::rc;

use config::{Findings, Snapshot};
use platform::{Error, Follow, Follower, Key, Object, Pace, Store};
use serde::{Deserialize, Serialize};

use crate::Holder;

units::record! {
    /// Settings of the mirror.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Longest time that one watch waits; a watch that has gone silent is noticed after it, or when
        /// another node tells of a newer configuration.
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
            watch_wait: units::Period::from_secs(10),
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
    follower: Follower<S>,
    reader: Reader<D>,
}

/// Puts what the follower reads in force.
struct Reader<D> {
    key: Key,
    decode: D,
    holder: Holder,
    counts: Handle,
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
    /// Puts what `store` has at `key` in force in `holder`, and reads again when the holder hears of a
    /// newer version.
    #[must_use]
    pub fn new(store: S, key: Key, decode: D, holder: Holder, settings: Settings) -> Self {
        let pace = Pace {
            wait: settings.watch_wait.0,
            pause: settings.watch_pause.0,
            retry_least: settings.retry_least.0,
            retry_most: settings.retry_most.0,
        };
        let (follower, nudge) = Follower::new(store, pace);
        holder.on_newer(nudge);
        let reader = Reader {
            key,
            decode,
            holder,
            counts: Handle::default(),
        };
        Self { follower, reader }
    }

    /// Reads the figures, also while the mirror runs.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.reader.counts.clone()
    }
}

impl<D: Decode> Follow for Reader<D> {
    const NAME: &'static str = "mirror";

    /// Keys below which the object stands, up to the last slash.
    fn prefix(&self) -> &str {
        let key = self.key.as_str();
        key.rfind('/').map_or("", |place| &key[..=place])
    }

    fn take(&self, objects: Vec<Object>) {
        let newest = objects.iter().rev().find(|object| object.key == self.key);
        if let Some(object) = newest {
            self.adopt(object);
        }
    }

    fn failed(&self, _error: &Error) {
        self.counts.count(|counts| counts.failed += 1);
    }
}

impl<D: Decode> Reader<D> {
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
        self.follower.run(self.reader, stop).await;
    }
}
