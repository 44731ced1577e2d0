//! Tests of the decision which nodes watch the store.

use std::time::{Duration, Instant};

use relay::{Candidate, Evidence, Freshness, Intervals, Place};

const APPLY: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Number of nodes whose order is kept.
const RANKED: usize = 48;

/// The node at `position`, in a fleet with one watcher; `None` for one whose order is not kept.
fn candidate(position: Option<usize>, watching: bool) -> Candidate {
    let node = || "n1".parse().expect("valid ID");
    Candidate {
        place: position.map_or_else(|| Place::unranked(&node()), Place::ranked),
        behind: position.unwrap_or(RANKED).checked_sub(1),
        spread: Duration::ZERO,
        watching,
    }
}

fn evidence(at: Instant, position: usize) -> Evidence {
    Evidence {
        at,
        place: Place::ranked(position),
    }
}

/// Whether a node has to watch the store whose state was complete, and whose latest message arrived,
/// this many milliseconds ago.
fn should_watch(position: Option<usize>, complete: u64, message: u64) -> bool {
    let now = Instant::now() + ms(60_000);
    let mut freshness = Freshness::new(now - ms(complete.max(message)));
    freshness.record_message(now - ms(message));
    freshness.record(evidence(now - ms(complete), 0));
    freshness.should_watch(&candidate(position, false), now, &Intervals::new(APPLY))
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
        ("second node waits longer", Some(2), 1_050, 100, false),
        ("second node after its delay", Some(2), 1_150, 100, true),
        (
            "unranked node waits for the others",
            None,
            1_400,
            100,
            false,
        ),
        ("unranked node after all others", None, 1_600, 100, true),
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
    freshness.record_message(now);
    freshness.record(evidence(now, 2));
    assert!(
        freshness.should_watch(&candidate(Some(1), true), now, &intervals),
        "another substitute may depend on this one"
    );
    freshness.record(evidence(now, 0));
    assert!(!freshness.should_watch(&candidate(Some(1), true), now, &intervals));
}

#[test]
fn number_of_nodes_that_ask_the_store_doubles_with_each_step() {
    let intervals = Intervals::new(APPLY);
    let stale = u64::try_from(intervals.stale_after.as_millis()).expect("few milliseconds");
    let step = u64::try_from(intervals.takeover_step.as_millis()).expect("few milliseconds");
    for doublings in 0..5 {
        let age = stale + step * doublings + 1;
        let asking = (1..RANKED).filter(|place| should_watch(Some(*place), age, 100));
        assert_eq!(asking.count(), 2_usize.pow(doublings as u32 + 1) - 1);
    }
}

#[test]
fn all_nodes_ask_the_store_while_there_is_time_to_read_it() {
    let asked = APPLY.mul_f64(0.8);
    let age = u64::try_from(asked.as_millis()).expect("few milliseconds");
    let asking = (0..RANKED).filter(|place| should_watch(Some(*place), age, 100));
    assert_eq!(asking.count(), RANKED);
    assert!(
        should_watch(None, age, 100),
        "a node whose order is not kept"
    );
}
