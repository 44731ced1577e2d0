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

/// A move in time: its length, and the timeout of the route, in milliseconds.
const PERIOD_MS: u64 = 16_000;
const TIMEOUT_MS: f64 = 1_200.0;
/// Mean time of a request and spread of its logarithm.
const USUAL_MS: f64 = 220.0;
const SPREAD: f64 = 0.8;
/// How much longer half of the requests of a slow version take.
const SLOWER: f64 = 8.0;

/// Time of a request whose logarithm is normally distributed.
fn draw_millis(rng: &mut StdRng) -> f64 {
    // The sum of twelve uniform numbers is close to normal, with a variance of one.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    USUAL_MS * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp()
}

/// Requests that a version gets of which half are slow, until it is found bad, and all requests of the
/// service; `rate` of these come in a second.
fn expose(rate: u32, seed: u64) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let schedule = Schedule::new(Duration::from_millis(PERIOD_MS));
    let mut judge = Judge::default();
    let mut sight = Sight::default();
    // When each answer of the version comes, whether it fails, and whether it is slow.
    let mut answers: Vec<(u64, bool, bool)> = Vec::new();
    let (mut exposed, mut all) = (0, 0);
    let mut found = false;
    for millis in 0..PERIOD_MS {
        for _ in 0..rate / 1_000 + u32::from(rng.random_ratio(rate % 1_000, 1_000)) {
            all += 1;
            let share = schedule.share(Duration::from_millis(millis));
            if found || !rng.random_bool(share) {
                sight.route(ROUTES[0]).base_requests += 1;
                continue;
            }
            exposed += 1;
            let factor = if rng.random_bool(0.5) { SLOWER } else { 1.0 };
            let took = draw_millis(&mut rng) * factor;
            let slow = took > USUAL_MS * 4.0 + 20.0;
            let failed = took > TIMEOUT_MS;
            answers.push((millis + took.min(TIMEOUT_MS) as u64, failed, slow));
        }
        if millis % 100 != 0 {
            continue;
        }
        let (ended, open): (Vec<_>, Vec<_>) = answers.iter().partition(|one| one.0 <= millis);
        answers = open;
        let route = sight.route(ROUTES[0]);
        for (_, failed, slow) in ended {
            route.requests += 1;
            route.failures += u64::from(failed);
            route.slow += u64::from(slow);
        }
        found |= judge.judge(&sight).is_some();
    }
    (exposed, all)
}

/// A slow version of a service with little traffic got more than a tenth of it (issue 23).
#[test]
fn slow_version_of_small_service_gets_little() {
    for rate in [40, 90, 130, 300] {
        for seed in 0..60 {
            let (exposed, all) = expose(rate, seed);
            let allowed = all / 10 + 50;
            assert!(
                exposed <= allowed,
                "{rate} a second, seed {seed}: {exposed} of {all}, {allowed} allowed"
            );
        }
    }
}
