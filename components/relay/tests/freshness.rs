//! Tests of the decision which nodes watch the store.

use std::time::{Duration, Instant};

use relay::{Freshness, Intervals, Place};

const APPLY: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Whether a node has to watch the store whose state was complete, and whose latest message arrived,
/// this many milliseconds ago.
fn should_watch(place: Place, complete: u64, message: u64) -> bool {
    let now = Instant::now() + ms(60_000);
    let mut freshness = Freshness::new(now - ms(complete.max(message)));
    freshness.record_message(Some(now - ms(complete)), now - ms(message));
    freshness.should_watch(place, 1, false, now, &Intervals::new(APPLY))
}

#[test]
fn should_watch_cases() {
    let cases = [
        ("first node always watches", Some(0), 0, 0, true),
        (
            "no other node while the state is complete",
            Some(1),
            900,
            900,
            false,
        ),
        ("next node after a lost watcher", Some(1), 1_300, 100, true),
        ("second node waits longer", Some(2), 1_300, 100, false),
        ("second node after its delay", Some(2), 1_500, 100, true),
        (
            "no unranked node while others answer",
            None,
            60_000,
            100,
            false,
        ),
        ("node that receives no messages", None, 1_100, 1_100, true),
    ];
    for (name, rank, complete, message, expected) in cases {
        assert_eq!(should_watch(rank, complete, message), expected, "{name}");
    }
}

#[test]
fn isolated_node_watches_in_time() {
    let delays = (0..).map(|tenth| tenth * 100);
    let started = delays
        .take(100)
        .find(|after| should_watch(None, *after, *after));
    let started = started.expect("an isolated node watches the store");
    let remaining = APPLY.saturating_sub(ms(started));
    assert!(
        remaining >= APPLY / 4,
        "started after {started} ms, {remaining:?} left"
    );
}

#[test]
fn substitute_stops_when_a_predecessor_returns() {
    let now = Instant::now() + ms(10_000);
    let intervals = Intervals::new(APPLY);
    let mut freshness = Freshness::new(now - ms(5_000));
    freshness.record_message(Some(now), now);
    assert!(
        freshness.should_watch(Some(1), 1, true, now, &intervals),
        "another substitute may depend on this one"
    );
    freshness.record_predecessor(now);
    assert!(!freshness.should_watch(Some(1), 1, true, now, &intervals));
}

#[test]
fn outage_adds_few_watchers() {
    let watching = (0..48).filter(|place| should_watch(Some(*place), 5_000, 100));
    assert!(
        watching.count() <= 6,
        "most nodes wait for those with lower positions"
    );
}
