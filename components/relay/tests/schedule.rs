//! Tests of the schedule by which watches end in turn.

use std::time::{Duration, Instant};

use relay::{Evidence, Intervals, Place, next_wait};

const APPLY: Duration = Duration::from_secs(2);
const WATCHERS: usize = 3;

/// A node that watches the store, until it stops.
struct Node {
    place: Place,
    answer_at: Instant,
    stops_after: Duration,
}

/// Runs watches that start together, and returns the longest time between two answers after `from`.
fn longest_gap(stops: &[(usize, u64)], from: Duration) -> Duration {
    let intervals = Intervals::new(APPLY);
    let start = Instant::now();
    let mut nodes: Vec<_> = stops
        .iter()
        .map(|(position, stops)| Node {
            place: Place::ranked(*position),
            answer_at: start,
            stops_after: Duration::from_secs(*stops),
        })
        .collect();
    let mut known: Vec<Evidence> = Vec::new();
    let mut answers = Vec::new();
    for _ in 0..400 {
        nodes.retain(|node| node.answer_at - start < node.stops_after);
        let next = nodes.iter_mut().min_by_key(|node| node.answer_at);
        let next = next.expect("a node runs");
        let now = next.answer_at;
        answers.push(now);
        known.retain(|one| one.place != next.place);
        known.push(Evidence {
            at: now,
            place: next.place,
        });
        next.answer_at = now + next_wait(next.place, &known, WATCHERS, now, &intervals);
    }
    let late = answers.windows(2).filter(|pair| pair[0] - start > from);
    late.map(|pair| pair[1] - pair[0]).max().expect("answers")
}

#[test]
fn next_wait_cases() {
    let long = 1_000;
    let settled = Duration::from_secs(6);
    let step = Intervals::new(APPLY).evidence;
    let cases = [
        ("one node", vec![(0, long)]),
        (
            "three regular watchers",
            vec![(0, long), (1, long), (2, long)],
        ),
        ("two of them", vec![(0, long), (2, long)]),
        ("one substitute", vec![(17, long)]),
        (
            "two substitutes, of which one stops",
            vec![(9, long), (40, 1)],
        ),
        ("the first one stopped", vec![(0, 1), (1, long), (2, long)]),
    ];
    for (name, stops) in cases {
        let gap = longest_gap(&stops, settled);
        assert!(gap <= step + step / 10, "{name}: {gap:?}");
    }
}

#[test]
fn answers_in_turn_need_no_more_calls_than_one_node() {
    let intervals = Intervals::new(APPLY);
    let now = Instant::now();
    let others: Vec<_> = (1..WATCHERS)
        .map(|position| Evidence {
            at: now,
            place: Place::ranked(position),
        })
        .collect();
    let wait = next_wait(Place::ranked(0), &others, WATCHERS, now, &intervals);
    assert_eq!(wait, intervals.evidence * 3);
}
