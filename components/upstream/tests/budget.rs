//! Retry budget, and the spread of new connections.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use upstream::{Budget, Dialer};

/// Retries that a total outage causes, as a part of the requests.
fn amplification(depth: u32, requests: u32) -> f64 {
    let mut budget = Budget::new(0.06, 300.0);
    let mut retries = 0;
    for _ in 0..requests {
        budget.earn(depth);
        retries += u32::from(budget.spend()) + u32::from(budget.spend());
    }
    f64::from(retries) / f64::from(requests)
}

#[test]
fn spend_in_outage() {
    for requests in [1_000, 10_000, 100_000] {
        let added = amplification(0, requests);
        assert!(added <= 0.0701, "{requests}: {added}");
    }
}

#[test]
fn spend_in_deep_call() {
    let added: f64 = (0..17).map(|depth| amplification(depth, 100_000)).sum();
    assert!(added < 0.1, "{added}");
}

#[test]
fn earn_up_to_limit() {
    let mut budget = Budget::new(0.5, 3.0);
    (0..100).for_each(|_| budget.earn(0));
    let spent = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(spent, 3);
}

#[test]
fn reserve_within_rate() {
    let dialer = Dialer::new(100);
    let now = Instant::now();
    let waits: Vec<_> = (0..220).map(|_| dialer.reserve(now)).collect();
    assert!(waits[..20].iter().all(Duration::is_zero));
    assert!(waits.is_sorted());
    assert!(
        waits[219] >= Duration::from_millis(1_980),
        "{:?}",
        waits[219]
    );
    assert!(
        waits[219] <= Duration::from_millis(2_000),
        "{:?}",
        waits[219]
    );
}

#[test]
fn backoff_within_bounds() {
    let mut rng = StdRng::seed_from_u64(7);
    let limit = Duration::from_secs(1);
    assert_eq!(Dialer::backoff(0, limit, &mut rng), Duration::ZERO);
    for failures in 1..100 {
        let wait = Dialer::backoff(failures, limit, &mut rng);
        let doubled = Duration::from_millis(20) * 2_u32.pow((failures - 1).min(10));
        assert!(wait <= doubled.min(limit), "{failures}: {wait:?}");
    }
}
