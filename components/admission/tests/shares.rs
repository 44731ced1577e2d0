//! Shares of workspaces at an overloaded owner, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use admission::{Queue, Shares, Urgency};
use compact_str::{CompactString, format_compact};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 16;
const LIMIT: usize = 2 * SLOTS;
const WORK: Duration = Duration::from_millis(90);
const TARGET: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(60);
/// Time after which the demand is known.
const LEARNING: Duration = Duration::from_secs(4);

/// Requests of a workspace after the time of learning.
#[derive(Clone, Copy, Default)]
struct Tally {
    sent: f64,
    served: f64,
}

impl Tally {
    fn part(self) -> f64 {
        self.served / self.sent
    }
}

/// Serves requests whose workspaces send these loads, as parts of the capacity; returns a tally for each.
fn serve(loads: &[f64], seed: u64) -> Vec<Tally> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut shares = Shares::new(start);
    let mut queue: Queue<usize> = Queue::default();
    let mut running: BinaryHeap<Reverse<Instant>> = BinaryHeap::new();
    let mut tallies = vec![Tally::default(); loads.len()];
    let total: f64 = loads.iter().sum();
    let mut now = start;
    while now < start + LENGTH {
        let gap = -rng.random::<f64>().max(1e-9).ln() / total * WORK.as_secs_f64() / SLOTS as f64;
        now += Duration::from_secs_f64(gap);
        let counts = f64::from(u8::from(now > start + LEARNING));
        while let Some(Reverse(end)) = running.peek().copied().filter(|end| end.0 <= now) {
            running.pop();
            if let Some(next) = queue.pop(end) {
                run(next, end, &mut running, &mut shares, &mut rng);
                tallies[next].served += counts;
            }
        }
        let mut point = rng.random_range(0.0..total);
        let chosen = loads.iter().position(|load| {
            point -= load;
            point < 0.0
        });
        let workspace = chosen.unwrap_or(loads.len() - 1);
        tallies[workspace].sent += counts;
        shares.arrive(&name(workspace), WORK, SLOTS, now);
        if running.len() < SLOTS {
            run(workspace, now, &mut running, &mut shares, &mut rng);
            tallies[workspace].served += counts;
            continue;
        }
        let urgency = Urgency {
            priority: 0,
            target: now + TARGET,
            deadline: now + TARGET,
            expected: WORK,
            over_share: shares.mark(&name(workspace)),
        };
        let _ = queue.push(urgency, workspace, LIMIT, now);
    }
    tallies
}

fn run(
    workspace: usize,
    at: Instant,
    running: &mut BinaryHeap<Reverse<Instant>>,
    shares: &mut Shares,
    rng: &mut StdRng,
) {
    shares.serve(&name(workspace), WORK);
    running.push(Reverse(at + WORK.mul_f64(rng.random_range(0.3..1.7))));
}

fn name(workspace: usize) -> CompactString {
    format_compact!("w{workspace}")
}

#[test]
fn mark_burst_displaces_its_own_requests_first() {
    const BURST: f64 = 7.5;
    let mut loads = [0.08; 10];
    loads[3] *= BURST;
    for seed in 0..10 {
        let tallies = serve(&loads, seed);
        let lost = |tally: &Tally| tally.sent - tally.served;
        let all: f64 = tallies.iter().map(lost).sum();
        let own = lost(&tallies[3]);
        assert!(
            own >= 0.9 * all,
            "seed {seed}: {own} of {all} lost requests are its own"
        );
        // Capacity that the other workspaces leave unused.
        let left = (1.0 - 0.08 * 9.0) / loads[3];
        let part = tallies[3].part();
        assert!(
            part >= 0.75 * left,
            "seed {seed}: served {part} of its requests, {left} fit"
        );
    }
}

#[test]
fn mark_no_workspace_falls_below_a_quarter_of_the_mean() {
    let loads: Vec<f64> = (1..=20)
        .map(|index| 2.0 * f64::from(index) / 210.0)
        .collect();
    for seed in 0..10 {
        let tallies = serve(&loads, seed);
        let parts: Vec<f64> = tallies.iter().map(|tally| tally.part()).collect();
        let mean = parts.iter().sum::<f64>() / parts.len() as f64;
        let worst = parts.iter().copied().fold(f64::INFINITY, f64::min);
        assert!(
            worst >= mean / 4.0,
            "seed {seed}: worst {worst}, mean {mean}"
        );
    }
}

#[test]
fn mark_lone_workspace_gets_all_slots() {
    for seed in 0..5 {
        let tally = serve(&[2.0], seed)[0];
        let part = tally.part();
        assert!(
            part >= 0.5 * 0.95,
            "seed {seed}: served {part} where a half fits"
        );
    }
}

#[test]
fn over_names_only_those_above_the_level() {
    let start = Instant::now();
    let mut shares = Shares::new(start);
    let demands = [("a", 1_u32), ("b", 2), ("c", 10)];
    // Ten units of 100 ms each 500 ms: the room of two slots.
    for step in 0..100 {
        let now = start + Duration::from_millis(100) * step;
        for (name, work) in demands {
            shares.arrive(&name.into(), Duration::from_millis(10) * work, 1, now);
        }
    }
    let over: Vec<_> = shares.over().collect();
    assert_eq!(over, ["c"]);
    assert!(!shares.mark(&"a".into()));
    assert!((0..10).any(|_| shares.mark(&"c".into())));
}

#[test]
fn mark_without_workspaces_does_nothing() {
    let start = Instant::now();
    let mut shares = Shares::new(start);
    for step in 0..1_000 {
        let now = start + Duration::from_millis(1) * step;
        shares.arrive(&"".into(), WORK, 1, now);
        assert!(!shares.mark(&"".into()));
    }
    assert!(shares.is_empty());
    assert_eq!(shares.worst_tenth(), None);
}

#[test]
fn worst_tenth_is_what_the_starved_workspace_gets() {
    let start = Instant::now();
    let mut shares = Shares::new(start);
    for step in 0..100 {
        let now = start + Duration::from_millis(100) * step;
        for workspace in ["a", "b"] {
            shares.arrive(&workspace.into(), Duration::from_millis(30), 1, now);
        }
        shares.serve(&"a".into(), Duration::from_millis(30));
    }
    let worst = shares.worst_tenth().expect("two workspaces");
    assert!(worst < 0.01, "{worst}");
}
