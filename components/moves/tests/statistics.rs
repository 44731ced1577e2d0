//! Tests that the sequential tests keep their stated error rates.

use std::time;

use moves::contrast::{ODDS_RATIOS, one_sample, two_sample};
use moves::{Detector, Evidence, Health, Judge, Settings, Trials};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn trials(total: u64, hits: u64) -> Trials {
    Trials { total, hits }
}

/// Logarithm of the number of ways to choose `count` of `total`.
fn log_choose(total: u64, count: u64) -> f64 {
    let as_f64 = |number: u64| f64::from(u32::try_from(number).expect("the number is small"));
    (0..count)
        .map(|index| (as_f64(total - index) / as_f64(index + 1)).ln())
        .sum()
}

proptest! {
    /// Under the null hypothesis the expected value of each ratio is exactly 1.
    #[test]
    fn two_sample_expectation(old in 1_u64..60, new in 1_u64..60, hits in 1_u64..60, null in 1.0..3.0_f64) {
        let hits = hits.min(old + new);
        let range = hits.saturating_sub(old)..=hits.min(new);
        let weight = |count: u64| {
            let ways = log_choose(new, count) + log_choose(old, hits - count);
            (ways + f64::from(u32::try_from(count).expect("the number is small")) * null.ln()).exp()
        };
        let norm: f64 = range.clone().map(weight).sum();
        for index in 0..ODDS_RATIOS.len() {
            let expected: f64 = range.clone().map(|count| {
                let logs = two_sample(trials(old, hits - count), trials(new, count), null);
                weight(count) / norm * logs[index].exp()
            }).sum();
            prop_assert!((expected - 1.0).abs() < 1e-6, "{expected}");
        }
    }

    /// More hits in the new version are stronger evidence.
    #[test]
    fn one_sample_rises_with_hits(rate in 0.001..0.3_f64, total in 1_u64..200, hits in 0_u64..200) {
        let hits = hits.min(total - 1);
        let fewer = one_sample(rate, trials(total, hits), 1.5);
        let more = one_sample(rate, trials(total, hits + 1), 1.5);
        for (fewer, more) in fewer.into_iter().zip(more) {
            prop_assert!(more > fewer);
        }
    }
}

#[test]
fn two_sample_without_information() {
    for (name, old, new) in [
        ("no hits", trials(50, 0), trials(50, 0)),
        ("only hits", trials(5, 5), trials(3, 3)),
        ("no old requests", trials(0, 0), trials(9, 4)),
        ("no new requests", trials(9, 4), trials(0, 0)),
    ] {
        assert_eq!(
            two_sample(old, new, 1.5),
            [0.0; ODDS_RATIOS.len()],
            "{name}"
        );
    }
}

#[test]
fn detector_limits_one_period() {
    let mut detector = Detector::new(1_000);
    detector.update([1_000.0; ODDS_RATIOS.len()]);
    assert!(detector.log_evidence() < Detector::MAX_LOG_RATIO);
}

#[test]
fn detector_finds_late_fault() {
    let mut detector = Detector::new(1_000);
    for _ in 0..900 {
        detector.update([-2.0; ODDS_RATIOS.len()]);
    }
    for _ in 0..3 {
        detector.update([6.0; ODDS_RATIOS.len()]);
    }
    assert!(detector.log_evidence() > 8.0, "{}", detector.log_evidence());
}

#[test]
fn health_ends_at_first_crossing() {
    let mut health = Health::new(0.25);
    health.update(0.01, trials(30, 0));
    assert!(health.is_sufficient());
    health.update(0.01, trials(30, 30));
    assert!(health.is_sufficient());
}

/// Simulated stream of requests.
#[derive(Clone, Copy)]
struct Stream {
    /// Failure rates of the old and the new version.
    failures: (f64, f64),
    /// Factor of the new version's latencies.
    slowdown: f64,
    /// Failure rate of both versions for a while, such as when a shared dependency fails.
    outage: f64,
}

/// Number of periods until the alarm; `None` without an alarm.
fn periods_to_alarm(stream: Stream, alpha: f64, seed: u64) -> Option<u32> {
    const PERIODS: u32 = 100;
    const REQUESTS: u32 = 30;
    let mut random = StdRng::seed_from_u64(seed);
    let start = time::Instant::now();
    let settings = Settings::default();
    let mut judge = Judge::new(&settings, alpha, PERIODS, start);
    let share = random.random_range(0.02..0.95);
    for period in 1..=PERIODS {
        let now = start + settings.report.0 * period;
        let in_outage = (40..60).contains(&period);
        let mut evidence = Evidence::default();
        for route in ["book", "cancel", "list"] {
            let pair = evidence.route(route);
            for _ in 0..REQUESTS {
                let is_new = random.random_bool(share);
                let base = if is_new {
                    stream.failures.1
                } else {
                    stream.failures.0
                };
                let rate = if in_outage {
                    base.max(stream.outage)
                } else {
                    base
                };
                let factor = if is_new { stream.slowdown } else { 1.0 };
                let spread: f64 = random.random_range(-1.0..1.0) + random.random_range(-1.0..1.0);
                let latency = time::Duration::from_secs_f64(0.02 * spread.exp() * factor);
                let counts = if is_new { &mut pair.new } else { &mut pair.old };
                counts.add(random.random_bool(rate), latency);
            }
        }
        judge.absorb("ba", &evidence, now);
        if judge.alarm().is_some() {
            return Some(period);
        }
    }
    None
}

#[test]
fn judge_false_alarm_rate() {
    const STREAMS: u64 = 120;
    // Far above the production value, so that the number of false alarms differs measurably from zero.
    const ALPHA: f64 = 0.1;
    for (name, failures, outage) in [
        ("rare failures", (0.002, 0.002), 0.0),
        ("many failures", (0.1, 0.1), 0.0),
        // Odds of 1 to 9 and of 1 to 6.
        ("failures at the tolerated odds", (0.1, 1.0 / 7.0), 0.0),
        ("temporary failures of both", (0.002, 0.002), 0.5),
    ] {
        let stream = Stream {
            failures,
            slowdown: 1.0,
            outage,
        };
        let alarms = (0..STREAMS).filter(|seed| periods_to_alarm(stream, ALPHA, *seed).is_some());
        let alarms = alarms.count();
        println!("{name}: {alarms} false alarms in {STREAMS} streams");
        assert!(alarms <= 12, "{name}: {alarms} of {STREAMS}");
    }
}

#[test]
fn judge_finds_bad_versions() {
    for (name, failures, slowdown) in [
        ("all fail", (0.002, 1.0), 1.0),
        ("a tenth fails", (0.002, 0.1), 1.0),
        ("twice as many fail as before", (0.1, 0.4), 1.0),
        ("slow", (0.002, 0.002), 4.0),
    ] {
        let stream = Stream {
            failures,
            slowdown,
            outage: 0.0,
        };
        for seed in 0..20 {
            let found = periods_to_alarm(stream, 0.0025, seed);
            assert!(found.is_some(), "{name}, seed {seed}");
        }
    }
}
