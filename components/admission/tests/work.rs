//! Work left at a backend server.

use std::time::{Duration, Instant};

use admission::{Histogram, Work};

const ROUTE: u64 = 1;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A bin is 1.4 times as wide as the one before it, so that an estimate is off by at most half of that.
fn is_near(actual: Duration, expected: u64) -> bool {
    let ratio = actual.as_secs_f64() / millis(expected).as_secs_f64();
    (0.8..1.25).contains(&ratio)
}

/// Runs of 100 ms, of which 3 in 100 take 700 ms.
fn with_long_runs() -> Histogram {
    let mut histogram = Histogram::default();
    for index in 0..500 {
        histogram.add(millis(if index % 100 < 3 { 700 } else { 100 }));
    }
    histogram
}

#[test]
fn rest_of_old_run_is_that_of_a_long_one() {
    let histogram = with_long_runs();
    let rest = histogram.rest(Duration::ZERO);
    assert!(is_near(rest, 118), "{rest:?}");
    let rest = histogram.rest(millis(200));
    assert!(is_near(rest, 500), "{rest:?}");
    let rest = histogram.rest(millis(2_000));
    assert!(is_near(rest, 2_000), "{rest:?}");
    assert_eq!(Histogram::default().rest(millis(50)), Duration::ZERO);
}

#[test]
fn typical_is_little_changed_by_long_runs_and_by_a_short_slow_down() {
    let mut histogram = with_long_runs();
    let usual = histogram.typical();
    assert!(is_near(usual, 106), "{usual:?}");
    // Eight slots that are slow for 600 ms run some twenty requests.
    for _ in 0..20 {
        histogram.add(millis(250));
    }
    assert!(histogram.typical() < usual.mul_f64(1.25));
    assert_eq!(histogram.runs(), 99);
}

#[test]
fn report_of_start_follows_runs_and_queue() {
    let start = Instant::now();
    let mut work = Work::default();
    for _ in 0..100 {
        work.add(ROUTE, millis(100));
    }
    let started = |waiting: usize, work: &Work| {
        let waiting = std::iter::repeat_n(ROUTE, waiting);
        work.report(ROUTE, 2, waiting, start + millis(40)).start
    };
    work.start(ROUTE, start);
    assert_eq!(started(0, &work), Duration::ZERO);
    work.start(ROUTE, start);
    assert!(is_near(started(0, &work), 60));
    assert!(is_near(started(2, &work), 160));
    work.end(ROUTE, start);
    assert_eq!(started(0, &work), Duration::ZERO);
}
