//! A configuration that the store keeps whole in one object.

use std::time::{Duration, Instant};

use config::{Findings, Snapshot};
use distribution::mirror::{Decode, Settings};
use distribution::{Holder, Mirror};
use fakes::{Faults, Store};
use platform::Key;

/// Reads a version written as text.
struct Number;

impl Decode for Number {
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

struct Bench {
    store: Store,
    holder: Holder,
    _trigger: kernel::Trigger,
}

fn key() -> Key {
    "config/main".parse().expect("it is a key")
}

impl Bench {
    fn open(version: &str) -> Self {
        Self::open_waiting(version, units::Period::from_millis(300))
    }

    /// A mirror whose watches wait for `watch_wait`.
    fn open_waiting(version: &str, watch_wait: units::Period) -> Self {
        let store = Store::default();
        store.plant(&key(), version.into());
        let holder = Holder::default();
        let settings = Settings {
            watch_wait,
            watch_pause: units::Period::from_millis(50),
            ..Settings::default()
        };
        let mirror = Mirror::new(store.clone(), key(), Number, holder.clone(), settings);
        let (trigger, stop) = kernel::stop();
        compio::runtime::spawn(kernel::Service::run(mirror, stop)).detach();
        Self {
            store,
            holder,
            _trigger: trigger,
        }
    }

    /// Waits until `version` is in force; how long that took.
    async fn until(&self, version: u64) -> Duration {
        let started = Instant::now();
        while self.holder.get().version() != units::Version(version) {
            let held = self.holder.get().version();
            assert!(started.elapsed() < Duration::from_secs(5), "{held} is held");
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        started.elapsed()
    }
}

/// Bound of the platform's rules on the time until a change is in force.
const APPLY: Duration = Duration::from_secs(2);

#[compio::test]
async fn change_in_force() {
    let bench = Bench::open("7");
    bench.until(7).await;
    bench.store.plant(&key(), "12".into());
    assert!(bench.until(12).await < APPLY);
}

#[compio::test]
async fn change_older_or_wrong() {
    let bench = Bench::open("7");
    bench.until(7).await;
    for value in ["3", "menus", ""] {
        bench.store.plant(&key(), value.into());
        compio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(bench.holder.get().version(), units::Version(7), "{value}");
    }
    bench.store.plant(&key(), "8".into());
    bench.until(8).await;
}

#[compio::test]
async fn history_gone() {
    let bench = Bench::open("7");
    bench.until(7).await;
    bench.store.forget_history();
    bench.store.plant(&key(), "9".into());
    assert!(bench.until(9).await < APPLY);
}

#[compio::test]
async fn store_away() {
    let bench = Bench::open("7");
    bench.until(7).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    bench.store.set_faults(outage);
    // The watch that waits already ends first.
    compio::time::sleep(Duration::from_millis(400)).await;
    bench.store.plant(&key(), "9".into());
    compio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(bench.holder.get().version(), units::Version(7));
    bench.store.set_faults(Faults::default());
    assert!(bench.until(9).await < APPLY);
}

#[compio::test]
async fn storm_costs_few_calls() {
    let bench = Bench::open("7");
    bench.until(7).await;
    let before = bench.store.counts().watches;
    for version in 8..58 {
        bench.store.plant(&key(), version.to_string().into());
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    bench.until(57).await;
    let calls = bench.store.counts().watches - before;
    assert!(
        calls <= 20,
        "{calls} watches for 50 changes in half a second"
    );
}

#[compio::test]
async fn watch_silent_and_version_heard() {
    let bench = Bench::open_waiting("7", units::Period::from_secs(60));
    bench.until(7).await;
    let silent = Faults {
        silent_watches: true,
        ..Faults::default()
    };
    bench.store.set_faults(silent);
    bench.store.plant(&key(), "9".into());
    compio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(bench.holder.get().version(), units::Version(7));
    bench.holder.hear(units::Version(9));
    assert!(bench.until(9).await < APPLY);
}

#[compio::test]
async fn version_heard_just_before_the_watch() {
    let bench = Bench::open_waiting("7", units::Period::from_secs(60));
    bench.until(7).await;
    let lists = bench.store.counts().lists;
    for version in 8..12 {
        bench.holder.hear(units::Version(version));
        bench.store.plant(&key(), version.to_string().into());
        bench.until(version).await;
    }
    compio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(
        bench.store.counts().lists,
        lists,
        "the watch was not waited for"
    );
}
