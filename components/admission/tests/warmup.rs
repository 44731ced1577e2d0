//! Rate limit of a backend server that warms up.

use std::time::{Duration, Instant};

use admission::Warmup;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests per second that a cold backend server bears, as in the configuration of the platform's example.
const RATE: f64 = 13.0;
/// Bound of the rule for any second: the rate times `warmupOver`, plus `warmupSlack`.
const BOUND: f64 = RATE * 1.5 + 8.0;
const PERIOD: Duration = Duration::from_secs(20);

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn warmup(now: Instant) -> Warmup {
    let mut warmup = Warmup::new(now);
    warmup.configure(units::Rate(RATE), PERIOD, now);
    warmup
}

/// Sends at random times, sometimes many at once, for `length`, as far as the limit allows.
fn send(warmup: &mut Warmup, start: Instant, length: Duration, seed: u64) -> Vec<Duration> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut sent = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let pause = if random.random_range(0..10) == 0 {
            random.random_range(0..2_000)
        } else {
            random.random_range(0..20)
        };
        at += millis(pause);
        if warmup.wait(0, start + at).is_zero() {
            warmup.consume(start + at);
            sent.push(at);
        }
    }
    sent
}

/// Largest number of requests in any second.
fn most_in_a_second(sent: &[Duration]) -> usize {
    let in_second = |start: &Duration| {
        let end = *start + Duration::from_secs(1);
        sent.iter().filter(|at| *at >= start && **at < end).count()
    };
    sent.iter().map(in_second).max().unwrap_or_default()
}

#[test]
#[allow(clippy::cast_precision_loss)]
fn consume_cold_keeps_bound_in_any_second() {
    for seed in 0..200 {
        let start = Instant::now();
        let mut warmup = warmup(start);
        warmup.announce(1, Some(PERIOD), start);
        let sent = send(&mut warmup, start, PERIOD, seed);
        let most = most_in_a_second(&sent);
        assert!(most as f64 <= BOUND, "seed {seed}: {most} in a second");
        assert!(sent.len() as f64 > RATE, "seed {seed}: {} sent", sent.len());
    }
}

#[test]
#[allow(clippy::cast_precision_loss)]
fn consume_repeated_doubt_keeps_bound() {
    for seed in 0..200 {
        let start = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let mut warmup = warmup(start);
        warmup.announce(1, Some(PERIOD), start);
        let mut sent = Vec::new();
        for step in 0..4_000 {
            let now = start + millis(5 * step);
            match random.random_range(0..50) {
                0 => warmup.suspect_restart(now),
                1 => warmup.announce(1, Some(PERIOD), now),
                _ => {}
            }
            if warmup.wait(0, now).is_zero() {
                warmup.consume(now);
                sent.push(millis(5 * step));
            }
        }
        let most = most_in_a_second(&sent);
        assert!(most as f64 <= BOUND, "seed {seed}: {most} in a second");
    }
}

#[test]
fn is_cold_without_warmup_never() {
    let now = Instant::now();
    let mut warmup = Warmup::new(now);
    warmup.announce(1, Some(PERIOD), now);
    warmup.suspect_restart(now);
    assert!(!warmup.is_cold(now));
    assert_eq!(warmup.wait(1_000, now), Duration::ZERO);
    assert_eq!(warmup.reserve_turn(9, now), None);
}

#[test]
fn is_cold_first_start_of_all() {
    let now = Instant::now();
    let mut warmup = warmup(now);
    warmup.announce(1, Some(Duration::ZERO), now);
    assert!(!warmup.is_cold(now));
}

#[test]
fn is_cold_ends_after_announced_time() {
    let now = Instant::now();
    let mut warmup = warmup(now);
    warmup.announce(1, Some(millis(900)), now);
    assert!(warmup.is_cold(now + millis(900)));
    assert!(!warmup.is_cold(now + millis(1_001)));
    assert!(warmup.wait(1_000, now) <= millis(1_000));
}

#[test]
fn is_cold_new_start_that_does_not_say() {
    let now = Instant::now();
    let mut warmup = warmup(now);
    warmup.announce(1, None, now);
    assert!(warmup.is_cold(now + PERIOD - millis(1)));
    warmup.announce(1, None, now + PERIOD / 2);
    assert!(!warmup.is_cold(now + PERIOD));
}

#[test]
fn announce_same_start_that_does_not_say_ends_doubt() {
    let now = Instant::now();
    let mut warmup = warmup(now);
    warmup.announce(1, None, now);
    warmup.suspect_restart(now + PERIOD);
    assert!(warmup.is_cold(now + PERIOD));
    warmup.announce(1, None, now + PERIOD + millis(300));
    assert!(!warmup.is_cold(now + PERIOD + millis(300)));
}

#[test]
fn is_cold_unknown_until_announced() {
    let now = Instant::now();
    let mut warmup = warmup(now);
    warmup.announce(1, Some(Duration::ZERO), now);
    warmup.suspect_restart(now);
    assert!(warmup.is_cold(now + PERIOD * 10));
    warmup.announce(1, Some(Duration::ZERO), now + PERIOD * 10);
    assert!(!warmup.is_cold(now + PERIOD * 10));
}

/// Guards against an announcement of the earlier start that arrives after the restart.
#[test]
fn announce_late_one_of_earlier_start() {
    let now = Instant::now();
    let mut warmup = warmup(now);
    warmup.announce(1, Some(Duration::ZERO), now);
    warmup.suspect_restart(now);
    warmup.announce(1, Some(Duration::ZERO), now + millis(299));
    assert!(warmup.is_cold(now + millis(299)));
    warmup.announce(1, Some(Duration::ZERO), now + millis(300));
    assert!(!warmup.is_cold(now + millis(300)));
}

#[test]
fn announce_new_start_ends_doubt_at_once() {
    let now = Instant::now();
    let mut warmup = warmup(now);
    warmup.announce(1, Some(Duration::ZERO), now);
    warmup.suspect_restart(now);
    warmup.announce(2, Some(millis(500)), now + millis(10));
    assert!(warmup.is_cold(now + millis(600)));
    assert!(!warmup.is_cold(now + millis(700)));
}
