//! Limits, back-off and circuit breaker at exact times.

use std::time;

use platform::{Backoff, Breaker, Bucket, Key, Settings};
use proptest::prelude::*;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn bucket_rate() {
    let start = time::Instant::now();
    let mut bucket = Bucket::new(units::Rate(2.0), 3, start);
    let taken = (0..10).filter(|_| bucket.take(start).is_ok()).count();
    assert_eq!(taken, 3);
    assert_eq!(bucket.take(start), Err(SECOND / 2));
    assert_eq!(bucket.take(start + SECOND / 2), Ok(()));
    bucket.close_for(SECOND, start + SECOND);
    assert_eq!(bucket.take(start + SECOND), Err(SECOND));
    assert_eq!(bucket.take(start + SECOND * 2), Ok(()));
}

#[test]
fn breaker_cycle() {
    let start = time::Instant::now();
    let mut breaker = Breaker::new(2, SECOND);
    let mut draws = rand::rng();
    breaker.fail(start, &mut draws);
    assert_eq!(breaker.admit(start, SECOND), Ok(()));
    breaker.fail(start, &mut draws);
    assert!(breaker.admit(start, SECOND).is_err());
    let later = start + SECOND;
    assert_eq!(breaker.admit(later, SECOND), Ok(()), "one call tests it");
    assert_eq!(breaker.admit(later, SECOND), Err(SECOND), "others wait");
    breaker.succeed();
    assert_eq!(breaker.admit(later, SECOND), Ok(()));
}

#[test]
fn settings_fault_cases() {
    let defaults = Settings::default;
    for (place, settings) in [
        (
            "/platform/writes",
            Settings {
                writes: units::Rate(0.0),
                ..defaults()
            },
        ),
        (
            "/platform/reads",
            Settings {
                reads: units::Rate(9_000.0),
                ..defaults()
            },
        ),
        (
            "/platform/burst",
            Settings {
                burst: 0,
                ..defaults()
            },
        ),
        (
            "/platform/timeout",
            Settings {
                timeout: units::Period::from_millis(0),
                ..defaults()
            },
        ),
    ] {
        let mut findings = findings::Findings::default();
        settings.check("/platform", &mut findings);
        assert_eq!(findings.as_slice()[0].place, place);
    }
    let mut findings = findings::Findings::default();
    defaults().check("/platform", &mut findings);
    assert!(findings.is_empty(), "{findings}");
}

proptest! {
    #[test]
    fn backoff_bounds(attempts in 0_usize..200) {
        let mut backoff = Backoff::new(SECOND / 10, SECOND * 5);
        for _ in 0..attempts {
            let bound = backoff.bound();
            prop_assert!(bound <= SECOND * 5);
            prop_assert!(backoff.next_wait(&mut rand::rng()) <= bound);
        }
        backoff.reset();
        prop_assert_eq!(backoff.bound(), SECOND / 10);
    }

    #[test]
    fn key_parse(text in "[a-z/.%\u{e9}]{0,12}") {
        let parsed: Result<Key, _> = text.parse();
        let fits = !text.is_empty()
            && text.split('/').all(|part| !part.is_empty())
            && text.chars().all(|one| one.is_ascii_alphabetic() || "./".contains(one));
        prop_assert_eq!(parsed.is_ok(), fits);
    }
}
