//! Schedule by which the watches of several nodes end in turn.

use std::time;

use crate::{Evidence, Intervals, Place};

/// Returns how long the next watch of the node at `own` waits, so that of the watches of all active
/// nodes one ends in each `Intervals::evidence`.
///
/// `others` is the latest evidence of other nodes; up to `watchers` nodes take turns. All follow the active
/// node with the lowest place.
#[must_use]
pub fn next_wait(
    own: Place,
    others: &[Evidence],
    watchers: usize,
    now: time::Instant,
    intervals: &Intervals,
) -> time::Duration {
    let step = intervals.evidence;
    let turns = count(watchers.max(1));
    let active_for = step * (turns + 1);
    // A substitute stops when it hears of a node before it.
    let remains = |place: Place| place < own || place.is_among(watchers);
    let is_active = |one: &&Evidence| {
        let is_recent = now.saturating_duration_since(one.at) <= active_for;
        one.place != own && remains(one.place) && is_recent
    };
    let active: Vec<_> = others.iter().filter(is_active).collect();
    let period = step * turns.min(count(active.len()) + 1);
    let before = active.iter().filter(|one| one.place < own);
    let turn = count(before.clone().count());
    let Some(first) = before.min_by_key(|one| one.place) else {
        return period;
    };
    let mut next = first.at + step * turn;
    while next < now + step / SHORTEST_PART {
        next += period;
    }
    next.saturating_duration_since(now)
}

/// Shortest wait, as a part of the time between two answers.
const SHORTEST_PART: u32 = 10;

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
