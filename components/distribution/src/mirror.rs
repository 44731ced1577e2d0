//! Mirrors the configuration of a store that keeps all of it in a single object.

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
        /// Maximum duration of one watch call. A watch that stopped delivering events is noticed when this
        /// time ends or when another node reports a newer configuration.
        pub watch_wait: units::Period,
        /// Pause after a change, which limits the number of calls during a burst of changes.
        pub watch_pause: units::Period,
        /// Wait after the first failed call; doubles with each further failure up to `retry_most`.
        pub retry_least: units::Period,
        /// Maximum wait after failed calls.
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

/// Decodes a configuration from an object of the store.
pub trait Decode: 'static {
    /// Returns the configuration in the value of the object.
    ///
    /// # Errors
    /// All problems found in the value.
    fn decode(&self, value: &[u8]) -> Result<Snapshot, Findings>;
}

/// Mirrors the configuration of a store whose operators write all of it into a single object.
///
/// A change is accepted when the store acknowledges it, so there is no log of changes. An invalid
/// configuration is not put in force, and the previous one stays in force.
pub struct Mirror<S, D> {
    follower: Follower<S>,
    applier: Applier<D>,
}

/// Puts configurations read by the follower in force.
struct Applier<D> {
    key: Key,
    decode: D,
    holder: Holder,
    handle: Handle,
}

/// Read access to the counters of a mirror; clones share them.
#[derive(Clone, Default)]
pub struct Handle {
    counts: rc::Rc<cell::Cell<Counts>>,
}

units::record! { eq:
    /// Counters since the start of the mirror.
    #[derive(Copy, Default, Serialize)]
    pub struct Counts {
        /// Configurations put in force.
        pub adopted: u64,
        /// Configurations refused as invalid.
        pub refused: u64,
        /// Failed calls to the store.
        pub failed: u64,
    }
}

impl Handle {
    /// Returns the counters.
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
    /// Creates a mirror that puts the object at `key` of `store` in force in `holder`, and reads it again
    /// when the holder is notified of a newer version.
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
        let applier = Applier {
            key,
            decode,
            holder,
            handle: Handle::default(),
        };
        Self { follower, applier }
    }

    /// Returns a handle that reads the counters, also while the mirror runs.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.applier.handle.clone()
    }
}

impl<D: Decode> Follow for Applier<D> {
    const NAME: &'static str = "mirror";

    /// Key prefix of the object, up to the last slash.
    fn prefix(&self) -> &str {
        let key = self.key.as_str();
        key.rfind('/').map_or("", |index| &key[..=index])
    }

    fn take(&self, objects: Vec<Object>) {
        let newest = objects.iter().rev().find(|object| object.key == self.key);
        if let Some(object) = newest {
            self.apply(object);
        }
    }

    fn failed(&self, _error: &Error) {
        self.handle.count(|counts| counts.failed += 1);
    }
}

impl<D: Decode> Applier<D> {
    fn apply(&self, object: &Object) {
        match self.decode.decode(&object.value) {
            Ok(snapshot) => {
                let version = snapshot.version();
                if self.holder.advance(snapshot) {
                    self.handle.count(|counts| counts.adopted += 1);
                    log::info!(version = version.0, revision = object.revision.0; "configuration in force");
                }
            }
            Err(findings) => {
                self.handle.count(|counts| counts.refused += 1);
                let findings = findings.to_string();
                log::error!(revision = object.revision.0, findings = findings.as_str(); "configuration refused");
            }
        }
    }
}

impl<S: Store, D: Decode> kernel::Service for Mirror<S, D> {
    const NAME: &'static str = "mirror";

    async fn run(self, stop: kernel::Stop) {
        self.follower.run(self.applier, stop).await;
    }
}
