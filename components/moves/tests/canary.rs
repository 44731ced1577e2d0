//! Short moves: shares over time, and the judgement of new versions.

use std::time::Duration;

use moves::canary::{Judge, Schedule, Sight};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ROUTES: [&str; 2] = ["browse", "book"];

/// A version as the model draws its requests.
#[derive(Debug, Clone, Copy)]
struct Version {
    /// Part of the requests that fail, by route.
    failures: [f64; 2],
    /// Part of the requests that are slow, by route.
    slow: [f64; 2],
    /// Requests of the new version before which it is good.
    good_until: u64,
}

const GOOD: Version = Version {
    failures: [0.005, 0.005],
    slow: [0.06, 0.04],
    good_until: 0,
};

/// Requests of the new version until it was found bad; `None` when `most` were not enough.
fn run(version: Version, base_failures: f64, most: u64, seed: u64) -> Option<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut judge = Judge::default();
    let mut sight = Sight::default();
    for request in 0..most {
        let place = rng.random_range(0..ROUTES.len());
        let shown = if request < version.good_until {
            GOOD
        } else {
            version
        };
        let route = sight.route(ROUTES[place]);
        route.requests += 1;
        route.failures += u64::from(rng.random_bool(shown.failures[place]));
        route.slow += u64::from(rng.random_bool(shown.slow[place]));
        route.base_requests += 10;
        route.base_failures += (0..10).filter(|_| rng.random_bool(base_failures)).count() as u64;
        if judge.judge(&sight).is_some() {
            return Some(request + 1);
        }
    }
    None
}

#[test]
fn judge_bad_versions() {
    let cases = [
        ("fails", [0.4, 0.4], [0.06, 0.04], 0, 0.005),
        ("fails on one route", [0.4, 0.0], [0.06, 0.04], 0, 0.005),
        ("fails late", [0.4, 0.4], [0.06, 0.04], 300, 0.005),
        ("slow", [0.0, 0.0], [0.65, 0.65], 0, 0.005),
        ("slow on one route", [0.0, 0.0], [0.06, 0.65], 0, 0.005),
        ("fails among failures", [0.5, 0.5], [0.06, 0.04], 0, 0.08),
    ];
    for (name, failures, slow, good_until, base) in cases {
        let version = Version {
            failures,
            slow,
            good_until,
        };
        for seed in 0..100 {
            let found = run(version, base, 2_000, seed);
            let found = found.unwrap_or_else(|| panic!("{name}, seed {seed}: not found"));
            // The rules let a bad version have 50 bad answers before its time to be taken back runs.
            let bad = found.saturating_sub(good_until);
            assert!(
                bad <= 150,
                "{name}, seed {seed}: found after {bad} requests"
            );
        }
    }
}

#[test]
fn judge_good_versions() {
    let mut alarms = 0;
    for seed in 0..200 {
        alarms += u32::from(run(GOOD, 0.005, 3_000, seed).is_some());
        let grey = Version {
            failures: [0.1, 0.1],
            ..GOOD
        };
        // Where all versions fail that often, the new one is no worse.
        alarms += u32::from(run(grey, 0.1, 3_000, seed).is_some());
    }
    assert!(
        alarms <= 4,
        "{alarms} of 400 good versions were taken for bad"
    );
}

#[test]
fn schedule_exposes_little_until_half() {
    for seconds in [12, 16] {
        let period = Duration::from_secs(seconds);
        let schedule = Schedule::new(period);
        let steps = 1_000_u32;
        let mut exposed = 0.0;
        let mut last = 0.0;
        for step in 0..steps {
            let elapsed = period * step / steps;
            let share = schedule.share(elapsed);
            assert!(share >= last, "the share falls at {elapsed:?}");
            last = share;
            exposed += share / f64::from(steps);
            if step == steps / 2 {
                assert!(
                    exposed < 0.06,
                    "{exposed} of all requests by half of the time"
                );
            }
        }
        assert!((last - 1.0).abs() < f64::EPSILON);
        // The old backend servers stop at once when a move is done: by then they have had nothing
        // for longer than any request takes.
        let full = (0..steps).find(|step| schedule.share(period * *step / steps) >= 1.0);
        let full = period * full.expect("it gets there") / steps;
        assert!(!schedule.may_end(full + Duration::from_secs(2)));
        assert!(schedule.may_end(period - Duration::from_millis(500)));
    }
}
