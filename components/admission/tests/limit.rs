//! Adaptation of the concurrency limit to latency.

use std::time::Duration;

use admission::{Limit, Settings};

fn windows(limit: &mut Limit, count: u32, millis: u64, reached: bool) {
    for _ in 0..count {
        if reached {
            limit.record_reached();
        }
        let answers = limit.current().max(10);
        (0..answers).for_each(|_| limit.record_answer(Duration::from_millis(millis)));
    }
}

#[test]
fn answers_adapt_limit() {
    // Slots, number of windows, latency in ms, whether the limit is reached, and the resulting limit.
    let cases = [
        (20, 100, 20, true, 20),
        (20, 100, 20, false, 5),
        (20, 3, 20, true, 8),
        (1, 10, 20, true, 1),
    ];
    for (slots, count, millis, reached, wanted) in cases {
        let mut limit = Limit::new(slots, &Settings::default());
        windows(&mut limit, count, millis, reached);
        assert_eq!(
            limit.current(),
            wanted,
            "{slots} {count} {millis} {reached}"
        );
    }
}

#[test]
fn slower_answers_lower_limit() {
    // Usual latency and later latency in ms, and whether the limit is lowered.
    let cases = [
        (20, 100, true),
        (20, 45, false),
        (1, 9, false),
        (1, 30, true),
    ];
    for (usual, later, is_lowered) in cases {
        let mut limit = Limit::new(20, &Settings::default());
        windows(&mut limit, 30, usual, true);
        windows(&mut limit, 5, later, true);
        assert_eq!(limit.current() < 20, is_lowered, "{usual} {later}");
    }
}

#[test]
fn lasting_latency_change_is_accepted() {
    let mut limit = Limit::new(20, &Settings::default());
    windows(&mut limit, 30, 20, true);
    windows(&mut limit, 20, 200, true);
    assert!(limit.current() < 5);
    windows(&mut limit, 600, 200, true);
    assert_eq!(limit.current(), 20);
}

#[test]
fn shed_lowers_limit() {
    let mut limit = Limit::new(20, &Settings::default());
    windows(&mut limit, 30, 20, true);
    (0..200).for_each(|_| limit.record_shed());
    assert!(limit.current() < 15 && limit.current() >= 1);
}
