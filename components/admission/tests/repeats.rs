//! Repeats among what a backend server gets and runs.

use std::time::{Duration, Instant};

use admission::{Arrivals, Repeat, Repeats};
use units::Share;

const WINDOW: Duration = Duration::from_secs(10);

const FIRST: Repeat = Repeat {
    resent: false,
    called_again: Share::NONE,
};
const RESENT: Repeat = Repeat {
    resent: true,
    called_again: Share::NONE,
};

fn called(parts: u32) -> Repeat {
    Repeat {
        resent: false,
        called_again: Share::from_parts(parts).expect("a share"),
    }
}

#[test]
fn sum_over_window() {
    let start = Instant::now();
    let mut arrivals = Arrivals::new(WINDOW, start);
    let cases = [(0, FIRST), (1_000, RESENT), (4_000, called(2_500))];
    for (millis, repeat) in cases {
        arrivals.add(repeat, start + Duration::from_millis(millis));
    }
    // Time, first arrivals, resent, calls of repeated runs.
    let wanted = [
        (4_000, 2, 1, 0.25),
        (9_900, 2, 1, 0.25),
        (10_800, 1, 1, 0.25),
        (11_500, 1, 0, 0.25),
        (14_600, 0, 0, 0.0),
        (90_000, 0, 0, 0.0),
    ];
    for (millis, first, resent, called_again) in wanted {
        let sum = arrivals.sum(start + Duration::from_millis(millis));
        assert_eq!((sum.first, sum.resent), (first, resent), "{millis} ms");
        assert!(
            (sum.called_again() - called_again).abs() < 1e-9,
            "{millis} ms: {sum:?}"
        );
    }
}

#[test]
fn share_of_running() {
    let repeats = Repeats::new(WINDOW, Instant::now());
    let now = Instant::now();
    assert_eq!(repeats.share(), Share::NONE);
    let first = repeats.start(FIRST, now);
    let resent = repeats.start(RESENT, now);
    assert_eq!(repeats.share().parts(), 5_000);
    drop(first);
    assert_eq!(repeats.share(), Share::WHOLE);
    drop(resent);
    assert_eq!(repeats.share(), Share::NONE);
}
