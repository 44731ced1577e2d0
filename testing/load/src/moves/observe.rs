//! What an operator sees of a move over time.

use std::time;

use schema::operator::Move;
use schema::operator::r#move::State;
use serde::Serialize;

use crate::fleet::{Addresses, Ports};
use crate::operator::Operator;

/// One look at a move.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Sample {
    /// Time since the start of the move, in seconds.
    pub at_s: f64,
    /// Share of the new version, in percent.
    pub share: f64,
}

impl Sample {
    /// The sample as a point of a plot.
    #[must_use]
    pub fn point(&self) -> (f64, f64) {
        (self.at_s, self.share)
    }
}

units::record! {
    /// What was seen of one move.
    #[derive(Default, Serialize)]
    pub struct Observed {
        /// Share over time.
        pub samples: Vec<Sample>,
        /// When the new version was seen to be withheld first.
        pub withheld: Option<units::Wall>,
        /// How it ended.
        pub end: Option<End>,
        /// Ends that differ from the first one.
        pub other_ends: u64,
        /// Reason, as the move gives it.
        pub reason: String,
    }

    /// End of a move.
    #[derive(Copy, Serialize)]
    pub struct End {
        /// Whether it is done, rather than taken back.
        pub done: bool,
        /// When, as the move says.
        pub at: units::Wall,
    }
}

/// Time between two looks.
const EVERY: time::Duration = time::Duration::from_millis(200);
/// Parts per 10,000 in a percent.
const PARTS_IN_PERCENT: f64 = 100.0;

impl Observed {
    /// Adds a look at the move.
    pub fn add(&mut self, seen: &Move, since: time::Duration) {
        let state = seen.state();
        self.samples.push(Sample {
            at_s: since.as_secs_f64(),
            share: f64::from(seen.share) / PARTS_IN_PERCENT,
        });
        if matches!(state, State::Withheld | State::TakenBack) && self.withheld.is_none() {
            self.withheld = Some(units::Wall::now());
        }
        self.reason.clone_from(&seen.reason);
        if !matches!(state, State::Done | State::TakenBack) {
            // A move that has ended must not run again.
            self.other_ends += u64::from(self.end.is_some());
            return;
        }
        let end = End {
            done: state == State::Done,
            at: units::Wall(seen.ended_ms),
        };
        match &self.end {
            None => self.end = Some(end),
            Some(first) if *first != end => self.other_ends += 1,
            Some(_) => {}
        }
    }
}

/// Time for which a move without an end is watched on: the lease of a runner that was killed has
/// to lapse, and the next runner has to write the end.
const TAKEOVER: time::Duration = time::Duration::from_secs(20);

/// Looks at the move `id` until `until`, and longer where it has not ended by then, through one
/// node after the other.
pub async fn watch(addresses: Addresses, nodes: usize, id: &str, until: time::Instant) -> Observed {
    let started = time::Instant::now();
    let mut observed = Observed::default();
    let mut node = 0;
    while is_due(&observed, until) {
        let address = addresses.vm(node % nodes, Ports::OPERATOR);
        node += 1;
        let Ok(operator) = Operator::open(address).await else {
            continue;
        };
        while is_due(&observed, until) {
            let Ok(seen) = operator.show_move(id).await else {
                break;
            };
            observed.add(&seen, started.elapsed());
            compio::time::sleep(EVERY).await;
        }
        compio::time::sleep(EVERY).await;
    }
    observed
}

/// Whether another look at the move is due.
fn is_due(observed: &Observed, until: time::Instant) -> bool {
    let now = time::Instant::now();
    let ended = observed.end.is_some();
    now < until || (!ended && now < until + TAKEOVER)
}
