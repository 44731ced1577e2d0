//! Rate limiting at the rate that a backend server advertises.

use std::time::{Duration, Instant};

use admission::{Advertised, Change, RateLimiter};

fn rate(number: f64) -> Advertised {
    Advertised::Rate(units::Rate(number))
}

#[test]
fn read_cases() {
    let cases: [(&[&str], Advertised); 15] = [
        (&[], Advertised::None),
        (&["2.4"], rate(2.4)),
        (&[" 12 "], rate(12.0)),
        (&["0"], rate(0.0)),
        (&["3", "2.5"], rate(2.5)),
        (&["3, 1.5"], rate(1.5)),
        (&["1e300"], rate(1e6)),
        (&["-1"], Advertised::Unreadable),
        (&["inf"], Advertised::Unreadable),
        (&["NaN"], Advertised::Unreadable),
        (&["1e999"], Advertised::Unreadable),
        (&[""], Advertised::Unreadable),
        (&["many"], Advertised::Unreadable),
        (&["3", "many"], Advertised::Unreadable),
        (&["3,"], Advertised::Unreadable),
    ];
    for (values, wanted) in cases {
        let read = Advertised::parse(values.iter().copied().map(Some));
        assert_eq!(read, wanted, "{values:?}");
    }
    assert_eq!(
        Advertised::parse([None].into_iter()),
        Advertised::Unreadable
    );
}

#[test]
fn hear_cases() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let unreadable = Advertised::Unreadable;
    // Case, rate in the answer, times in ms of the request and of the answer, and the resulting rate.
    let cases = [
        ("no rate yet", Advertised::None, 10, 20, None),
        ("unreadable before any rate", unreadable, 11, 21, None),
        ("advertised", rate(2.0), 30, 100, Some(2.0)),
        (
            "late answer to an earlier request",
            Advertised::None,
            40,
            150,
            Some(2.0),
        ),
        ("unreadable", unreadable, 110, 160, Some(2.0)),
        ("changed", rate(5.0), 110, 170, Some(5.0)),
        ("unchanged", rate(5.0), 110, 180, Some(5.0)),
        (
            "sent before the rate was advertised again",
            Advertised::None,
            175,
            190,
            Some(5.0),
        ),
        ("lifted", Advertised::None, 181, 200, None),
        ("zero", rate(0.0), 210, 220, Some(0.0)),
    ];
    let mut rate_limiter = RateLimiter::new(start);
    for (name, advertised, sent, now, wanted) in cases {
        let before = rate_limiter.rate();
        let change = rate_limiter.observe(advertised, at(sent), at(now));
        assert_eq!(rate_limiter.rate().map(|rate| rate.0), wanted, "{name}");
        let reported = !matches!(change, Change::None | Change::Unreadable { .. });
        assert_eq!(
            reported,
            before != rate_limiter.rate(),
            "{name}: {change:?}"
        );
    }
}

#[test]
fn usage_of_the_window() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut rate_limiter = RateLimiter::new(start);
    rate_limiter.consume(at(0));
    assert_eq!(rate_limiter.usage(at(0)), None);
    rate_limiter.observe(rate(2.0), at(0), at(1));
    for ms in [100, 200, 3_000] {
        rate_limiter.consume(at(ms));
    }
    let arrived =
        |rate_limiter: &mut RateLimiter, ms| rate_limiter.usage(at(ms)).map(|usage| usage.arrived);
    assert_eq!(arrived(&mut rate_limiter, 4_099), Some(3));
    assert_eq!(arrived(&mut rate_limiter, 4_100), Some(2));
    assert_eq!(arrived(&mut rate_limiter, 8_000), Some(0));
}

/// Times of the requests admitted under `per_second`, with an attempt each millisecond.
fn arrivals(per_second: f64, until_ms: u64, restarts_ms: &[u64]) -> Vec<u64> {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut rate_limiter = RateLimiter::new(start);
    rate_limiter.observe(rate(per_second), at(0), at(0));
    let mut arrived = Vec::new();
    for ms in 0..until_ms {
        if restarts_ms.contains(&ms) {
            rate_limiter = RateLimiter::new(at(ms));
            rate_limiter.observe(rate(per_second), at(ms), at(ms));
        }
        if rate_limiter.is_open(at(ms)) {
            rate_limiter.consume(at(ms));
            arrived.push(ms);
        }
    }
    arrived
}

/// Maximum number of arrivals in any four seconds.
fn most_in_window(arrived: &[u64]) -> usize {
    let from = |first: u64| {
        let window = first..first + 4_000;
        arrived.iter().filter(|ms| window.contains(ms)).count()
    };
    arrived
        .iter()
        .map(|first| from(*first))
        .max()
        .unwrap_or_default()
}

#[test]
fn rate_holds_in_any_four_seconds() {
    for per_second in [0.0, 0.05, 0.4, 1.3, 2.4, 4.2, 30.0, 200.0] {
        let allowed = 1.5 * 4.0 * per_second + 5.0;
        for restarts in [&[][..], &[3_900, 4_000][..]] {
            let arrived = arrivals(per_second, 12_000, restarts);
            let admitted = most_in_window(&arrived);
            assert!(count(admitted) <= allowed, "{admitted} at {per_second}/s");
            let least = 0.9 * per_second * 12.0 - 1.0;
            assert!(
                count(arrived.len()) >= least,
                "{} at {per_second}/s",
                arrived.len()
            );
        }
    }
}

fn count(number: usize) -> f64 {
    u32::try_from(number)
        .map(f64::from)
        .expect("a small number")
}

#[test]
fn rate_holds_when_it_changes() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut rate_limiter = RateLimiter::new(start);
    // From 10 requests per second to 2, with a full token bucket.
    rate_limiter.observe(rate(10.0), at(0), at(0));
    rate_limiter.observe(rate(2.0), at(5_000), at(5_000));
    let mut admitted = 0;
    for ms in 5_000..9_000 {
        if rate_limiter.is_open(at(ms)) {
            rate_limiter.consume(at(ms));
            admitted += 1;
        }
    }
    assert!((8..=10).contains(&admitted), "{admitted}");
    // Without a rate, no request waits.
    rate_limiter.observe(Advertised::None, at(9_000), at(9_001));
    assert!((0..100).all(|_| {
        rate_limiter.consume(at(9_001));
        rate_limiter.is_open(at(9_001))
    }));
}

#[test]
fn turns_are_spaced_at_the_rate() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut rate_limiter = RateLimiter::new(start);
    assert_eq!(rate_limiter.reserve_turn(0, at(0)), None);
    rate_limiter.observe(rate(2.0), at(0), at(0));
    rate_limiter.consume(at(0));
    let turns: Vec<_> = (0..21)
        .map(|_| rate_limiter.reserve_turn(0, at(0)).expect("a rate"))
        .collect();
    for (index, turn) in turns.iter().enumerate() {
        // Beyond ten seconds, the earlier turns are promised again.
        let number = u32::try_from(index % 20).expect("few") + 1;
        assert_eq!(*turn, Duration::from_millis(500) * number, "{index}");
    }
    // The next turn is behind two queued requests.
    assert_eq!(
        rate_limiter.reserve_turn(2, at(0)),
        Some(Duration::from_millis(1_500))
    );
}
