//! Repeats among the requests that a backend server receives and runs.

use std::time::{Duration, Instant};

use admission::{Allowance, Ancestry, Arrivals, Repeat, Repeats};
use units::Share;

const WINDOW: Duration = Duration::from_secs(10);

const FIRST: Repeat = Repeat {
    resent: false,
    called_again: Ancestry::NONE,
};
const RESENT: Repeat = Repeat {
    resent: true,
    called_again: Ancestry::NONE,
};

fn called(parts: u32) -> Repeat {
    Repeat {
        resent: false,
        called_again: Ancestry::of_retries(Share::from_parts(parts).expect("a share")),
    }
}

#[test]
fn sum_over_window() {
    let start = Instant::now();
    let mut arrivals = Arrivals::new(WINDOW, start);
    let cases = [(0, FIRST), (1_000, RESENT), (4_000, called(2_500))];
    for (millis, repeat) in cases {
        arrivals.add(repeat, 0, start + Duration::from_millis(millis));
    }
    // Time in ms, first arrivals, retries, and calls made by repeated runs.
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
    let now = Instant::now();
    let later = now + WINDOW / 4;
    let repeats = Repeats::new(Allowance::default(), now);
    assert_eq!(repeats.calls(now).total(), Share::NONE);
    let first = repeats.start(FIRST, 0, now);
    let resent = repeats.start(RESENT, 0, now);
    assert_eq!(repeats.calls(later).total().parts(), 5_000);
    drop(first);
    assert_eq!(repeats.calls(later).total(), Share::WHOLE);
    drop(resent);
    assert_eq!(repeats.calls(later).total(), Share::NONE);
}

/// A repeated run that fails at once makes its calls but is no longer running when the share is computed.
#[test]
fn share_of_latest() {
    let now = Instant::now();
    let repeats = Repeats::new(Allowance::default(), now);
    let first: Vec<_> = (0..3).map(|_| repeats.start(FIRST, 0, now)).collect();
    drop(repeats.start(RESENT, 0, now));
    assert_eq!(repeats.calls(now).total().parts(), 2_500);
    drop(first);
}

/// Guards against calls of a called run that are nobody's: three calls in a row are owed to a retry.
#[test]
fn calls_are_owed_to_retries_above() {
    let now = Instant::now();
    let run = |repeat| {
        let repeats = Repeats::new(Allowance::default(), now);
        let _run = repeats.start(repeat, 0, now);
        repeats.calls(now)
    };
    let mut call = run(RESENT);
    for number in 0..Ancestry::CALLS {
        assert_eq!(call.total(), Share::WHOLE, "call {number}");
        let repeat = Repeat {
            resent: false,
            called_again: call,
        };
        call = run(repeat);
    }
    assert_eq!(call.total(), Share::NONE);
}

#[test]
fn ancestry_cases() {
    let share = |parts| Ancestry::of_retries(Share::from_parts(parts).expect("a share"));
    let cases = [
        (Ancestry::NONE, "0,0,0"),
        (share(2_500), "2500,0,0"),
        (share(2_500).next(), "0,2500,0"),
        (share(2_500).next().next(), "0,0,2500"),
        (share(2_500).next().next().next(), "0,0,0"),
    ];
    for (ancestry, text) in cases {
        assert_eq!(ancestry.to_string(), text);
        assert_eq!(text.parse(), Ok(ancestry), "{text}");
    }
    assert_eq!("700".parse(), Ok(share(700)));
    for text in ["", "10001", "-1", "1,2,3,4", "1,,2", "x"] {
        assert!(text.parse::<Ancestry>().is_err(), "{text}");
    }
}

/// Repeats as a fraction of the requests in a total outage, at a thousand requests per second.
fn amplification(depth: u32, requests: u32) -> f64 {
    let start = Instant::now();
    let repeats = Repeats::new(Allowance::default(), start);
    let mut sent = 0;
    for number in 0..requests {
        let now = start + Duration::from_millis(number.into());
        drop(repeats.start(FIRST, depth, now));
        for _ in 0..2 {
            if repeats.allows(1, now) {
                drop(repeats.start(RESENT, depth, now));
                sent += 1;
            }
        }
    }
    f64::from(sent) / f64::from(requests)
}

#[test]
fn allow_in_outage() {
    for requests in [1_000, 10_000, 100_000] {
        let ratio = amplification(0, requests);
        assert!(ratio <= 0.0701, "{requests}: {ratio}");
    }
}

#[test]
fn allow_in_deep_call() {
    let ratio: f64 = (0..17).map(|depth| amplification(depth, 100_000)).sum();
    assert!(ratio < 0.1, "{ratio}");
}

#[test]
fn allow_up_to_slack() {
    let allowance = Allowance {
        ratio: 0.5,
        slack: 3.0,
        ..Allowance::default()
    };
    let start = Instant::now();
    let repeats = Repeats::new(allowance, start);
    let later = start + 2 * WINDOW;
    let sent = (0..100).filter(|_| {
        let allowed = repeats.allows(1, later);
        if allowed {
            drop(repeats.start(RESENT, 0, later));
        }
        allowed
    });
    assert_eq!(sent.count(), 3);
}
