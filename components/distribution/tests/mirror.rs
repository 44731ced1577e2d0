//! Mirror of a configuration that the store keeps in a single object.

use std::time::{Duration, Instant};

use config::{Findings, Snapshot};
use distribution::mirror::{Decode, Settings};
use distribution::{Holder, Mirror};
use fakes::{Faults, Store};
use platform::Key;

/// Decodes a version written as text.
struct TextVersion;

impl Decode for TextVersion {
    fn decode(&self, value: &[u8]) -> Result<Snapshot, Findings> {
        let mut findings = Findings::default();
        let text = std::str::from_utf8(value).unwrap_or_default();
        match text.parse() {
            Ok(number) => Snapshot::whole(units::Version(number), Vec::new(), Vec::new()),
            Err(_) => {
                findings.add("", format!("`{text}`"), "a number");
                Err(findings)
            }
        }
    }
}

struct Fixture {
    store: Store,
    holder: Holder,
    _trigger: kernel::Trigger,
}

fn key() -> Key {
    "config/main".parse().expect("the key is valid")
}

impl Fixture {
    fn start(version: &str) -> Self {
        Self::start_with_wait(version, units::Period::from_millis(300))
    }

    /// Starts a mirror whose watch calls last up to `watch_wait`.
    fn start_with_wait(version: &str, watch_wait: units::Period) -> Self {
        let store = Store::default();
        store.plant(&key(), version.into());
        let holder = Holder::default();
        let settings = Settings {
            watch_wait,
            watch_pause: units::Period::from_millis(50),
            ..Settings::default()
        };
        let mirror = Mirror::new(store.clone(), key(), TextVersion, holder.clone(), settings);
        let (trigger, stop) = kernel::stop();
        compio::runtime::spawn(kernel::Service::run(mirror, stop)).detach();
        Self {
            store,
            holder,
            _trigger: trigger,
        }
    }

    /// Waits until `version` is in force; returns the time that took.
    async fn wait_for(&self, version: u64) -> Duration {
        let started = Instant::now();
        while self.holder.get().version() != units::Version(version) {
            let held = self.holder.get().version();
            assert!(started.elapsed() < Duration::from_secs(5), "{held} is held");
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        started.elapsed()
    }
}

/// Limit set by the platform's rules on the time until a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

#[compio::test]
async fn change_in_force() {
    let fixture = Fixture::start("7");
    fixture.wait_for(7).await;
    fixture.store.plant(&key(), "12".into());
    assert!(fixture.wait_for(12).await < APPLY_LIMIT);
}

#[compio::test]
async fn change_older_or_invalid() {
    let fixture = Fixture::start("7");
    fixture.wait_for(7).await;
    for value in ["3", "menus", ""] {
        fixture.store.plant(&key(), value.into());
        compio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(fixture.holder.get().version(), units::Version(7), "{value}");
    }
    fixture.store.plant(&key(), "8".into());
    fixture.wait_for(8).await;
}

#[compio::test]
async fn history_gone() {
    let fixture = Fixture::start("7");
    fixture.wait_for(7).await;
    fixture.store.forget_history();
    fixture.store.plant(&key(), "9".into());
    assert!(fixture.wait_for(9).await < APPLY_LIMIT);
}

#[compio::test]
async fn store_unavailable() {
    let fixture = Fixture::start("7");
    fixture.wait_for(7).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fixture.store.set_faults(outage);
    // Wait until the pending watch call has ended.
    compio::time::sleep(Duration::from_millis(400)).await;
    fixture.store.plant(&key(), "9".into());
    compio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(fixture.holder.get().version(), units::Version(7));
    fixture.store.set_faults(Faults::default());
    assert!(fixture.wait_for(9).await < APPLY_LIMIT);
}

#[compio::test]
async fn burst_of_changes_few_calls() {
    let fixture = Fixture::start("7");
    fixture.wait_for(7).await;
    let before = fixture.store.counts().watches;
    for version in 8..58 {
        fixture.store.plant(&key(), version.to_string().into());
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    fixture.wait_for(57).await;
    let calls = fixture.store.counts().watches - before;
    assert!(
        calls <= 20,
        "{calls} watches for 50 changes in half a second"
    );
}

#[compio::test]
async fn watch_unresponsive_and_newer_version_reported() {
    let fixture = Fixture::start_with_wait("7", units::Period::from_secs(60));
    fixture.wait_for(7).await;
    let unresponsive = Faults {
        silent_watches: true,
        ..Faults::default()
    };
    fixture.store.set_faults(unresponsive);
    fixture.store.plant(&key(), "9".into());
    compio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(fixture.holder.get().version(), units::Version(7));
    fixture.holder.hear(units::Version(9));
    assert!(fixture.wait_for(9).await < APPLY_LIMIT);
}

#[compio::test]
async fn version_reported_just_before_watch() {
    let fixture = Fixture::start_with_wait("7", units::Period::from_secs(60));
    fixture.wait_for(7).await;
    let lists = fixture.store.counts().lists;
    for version in 8..12 {
        fixture.holder.hear(units::Version(version));
        fixture.store.plant(&key(), version.to_string().into());
        fixture.wait_for(version).await;
    }
    compio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(
        fixture.store.counts().lists,
        lists,
        "the mirror listed the store instead of waiting for the watch"
    );
}
