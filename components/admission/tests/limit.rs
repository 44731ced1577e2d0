//! How the limit follows latency.

use std::time::Duration;

use admission::{Limit, Settings};

fn windows(limit: &mut Limit, count: u32, millis: u64, reached: bool) {
    for _ in 0..count {
        if reached {
            limit.reach();
        }
        let before = limit.current().max(10);
        (0..before).for_each(|_| limit.answer(Duration::from_millis(millis)));
    }
}

#[test]
fn answer_moves_limit() {
    // Slots, windows, latency in them, whether the limit was reached, and the limit after them.
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
fn answer_slower_lowers_limit() {
    // Usual latency, later latency, and whether the limit falls.
    let cases = [
        (20, 100, true),
        (20, 45, false),
        (1, 9, false),
        (1, 30, true),
    ];
    for (usual, later, falls) in cases {
        let mut limit = Limit::new(20, &Settings::default());
        windows(&mut limit, 30, usual, true);
        windows(&mut limit, 5, later, true);
        assert_eq!(limit.current() < 20, falls, "{usual} {later}");
    }
}

#[test]
fn answer_lasting_change_is_accepted() {
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
    (0..200).for_each(|_| limit.shed());
    assert!(limit.current() < 15 && limit.current() >= 1);
}
