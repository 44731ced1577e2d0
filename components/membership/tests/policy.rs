//! Policies for suspicion, local health, pauses, mass failures and outages, with exact times.

use std::time;

use membership::{Group, Health, MassFailure, Outages, PauseDetector, Suspicion};

const PERIOD: time::Duration = time::Duration::from_secs(1);

fn millis(period: time::Duration) -> u128 {
    period.as_millis()
}

#[test]
fn suspicion_cases() {
    let suspicion = Suspicion::new(PERIOD, 3);
    let cases = [
        // Members, accusers, factor, period in milliseconds.
        (2, 1, 1, 3_000),
        (10, 1, 1, 9_000),
        (10, 2, 1, 6_000),
        (10, 4, 1, 3_000),
        (10, 9, 1, 3_000),
        (1_000, 1, 1, 27_000),
        (1_000, 4, 1, 9_000),
        (1_000, 4, 3, 27_000),
    ];
    for (members, accusers, factor, expected) in cases {
        let period = suspicion.period(members, accusers, factor);
        let difference = millis(period).abs_diff(expected);
        assert!(difference <= 1, "{members} {accusers} {factor}: {period:?}");
    }
}

#[test]
fn health_bounds() {
    let mut health = Health::default();
    health.improve();
    assert_eq!(health.factor(), 1);
    for _ in 0..100 {
        health.worsen();
    }
    assert_eq!(health.score(), Health::MAX_SCORE);
    health.improve();
    assert_eq!(health.factor(), Health::MAX_SCORE);
}

#[test]
fn pause_detector_cases() {
    let start = time::Instant::now();
    let mut pause_detector = PauseDetector::new(start, PERIOD);
    let ticks = [
        (1_000, 0),
        (2_100, 100),
        (3_000, 0),
        (63_000, 59_000),
        (64_000, 0),
    ];
    for (at, late) in ticks {
        let tick = pause_detector.tick(start + time::Duration::from_millis(at));
        assert_eq!(millis(tick), late, "tick at {at} ms");
    }
}

#[test]
fn mass_failure_cases() {
    let share = units::Share::from_parts(2500).expect("a share");
    let policy = MassFailure::new(share);
    let cases = [
        // Members, unresponsive members, whether they are a mass failure.
        (0, 0, false),
        (1, 1, false),
        (2, 1, false),
        (2, 2, true),
        (4, 2, false),
        (4, 3, true),
        (12, 2, false),
        (12, 3, true),
        (100, 24, false),
        (100, 25, true),
        (16_000, 3_999, false),
        (16_000, 4_000, true),
    ];
    for (members, unresponsive, expected) in cases {
        let group = Group {
            members,
            unresponsive,
        };
        assert_eq!(policy.applies_to(group), expected, "{group:?}");
    }
}

#[test]
fn outages_cases() {
    let start = time::Instant::now();
    let centre: units::DataCentre = "nadi".parse().expect("an id");
    let lifetime = PERIOD * 20;
    let mut outages = Outages::default();
    for _ in 0..Outages::FAILURES {
        assert!(outages.list(start).is_empty());
        outages.record_attempt(&centre, false, lifetime, start);
    }
    assert_eq!(outages.list(start), std::slice::from_ref(&centre));
    let reported = outages.encode(start);
    let mut other = Outages::default();
    other.merge(&reported, lifetime, start);
    assert_eq!(other.list(start), std::slice::from_ref(&centre));
    assert!(
        other.failing().is_empty(),
        "only a node's own attempts count as failures"
    );
    assert!(
        other.list(start + lifetime).is_empty(),
        "the outage expires"
    );
    outages.record_attempt(&centre, true, lifetime, start);
    assert!(outages.list(start).is_empty() && outages.failing().is_empty());
}

/// An outage expires even if two nodes keep reporting it to each other.
#[test]
fn outages_end() {
    let centre: units::DataCentre = "nadi".parse().expect("an id");
    let lifetime = PERIOD * 20;
    let mut now = time::Instant::now();
    let (mut one, mut other) = (Outages::default(), Outages::default());
    for _ in 0..Outages::FAILURES {
        one.record_attempt(&centre, false, lifetime, now);
    }
    let end = now + lifetime;
    while now < end {
        other.merge(&one.encode(now), lifetime, now);
        one.merge(&other.encode(now), lifetime, now);
        now += PERIOD / 10;
    }
    assert!(one.list(now).is_empty() && other.list(now).is_empty());
}
