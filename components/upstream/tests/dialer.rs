//! The spread of new connections.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use upstream::Dialer;

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
