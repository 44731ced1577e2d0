//! Queue by urgency at an overloaded owner, in simulated time.

use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use admission::{Queue, Urgency};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 16;
const WORK_MS: f64 = 90.0;
const TARGET: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(1_200);
const LIMIT: usize = 64;

/// Fraction of the requests answered by their target, at `load` relative to the capacity of the slots.
fn serve(load: f64, work_ms: f64, seed: u64, first_come: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut queue: Queue<Urgency> = Queue::default();
    // End times of the running requests, the earliest first.
    let mut running: BinaryHeap<std::cmp::Reverse<Instant>> = BinaryHeap::new();
    let rate = load * SLOTS as f64 / work_ms;
    let (mut now, mut total, mut in_time) = (start, 0_u32, 0_u32);
    for _ in 0..20_000 {
        let gap = -rng.random::<f64>().max(1e-9).ln() / rate;
        let arrival = now + Duration::from_secs_f64(gap / 1_000.0);
        loop {
            let free = match running.peek() {
                Some(end) if end.0 <= arrival => end.0,
                _ => break,
            };
            running.pop();
            if let Some(next) = queue.pop(free) {
                in_time += run(&next, work_ms, free, &mut running, &mut rng);
            }
        }
        now = arrival;
        total += 1;
        let target = if first_come {
            now + DEADLINE
        } else {
            now + TARGET
        };
        let request = Urgency {
            over_share: false,
            priority: 0,
            target,
            deadline: now + DEADLINE,
            expected: if first_come {
                Duration::ZERO
            } else {
                Duration::from_secs_f64(work_ms / 1_000.0)
            },
        };
        if running.len() < SLOTS {
            in_time += run(&request, work_ms, now, &mut running, &mut rng);
        } else {
            let _ = queue.push(request, request, LIMIT, now);
        }
    }
    f64::from(in_time) / f64::from(total)
}

/// Runs a request from `at`; returns 1 if it is answered by the target, otherwise 0.
fn run(
    request: &Urgency,
    work_ms: f64,
    at: Instant,
    running: &mut BinaryHeap<std::cmp::Reverse<Instant>>,
    rng: &mut StdRng,
) -> u32 {
    if at > request.deadline {
        return 0;
    }
    let work = work_ms * rng.random_range(0.3..1.7);
    let end = at + Duration::from_secs_f64(work / 1_000.0);
    running.push(std::cmp::Reverse(end));
    // In the baseline, the target of the request is its deadline.
    let arrived = request.deadline - DEADLINE;
    u32::from(end <= arrived + TARGET)
}

#[test]
fn overload_in_time() {
    for load in [0.8_f64, 1.2, 1.6] {
        // Nine tenths of the capacity of the slots.
        let least = 0.9 * (1.0 / load).min(1.0);
        for seed in 0..5 {
            let urgent = serve(load, WORK_MS, seed, false);
            let first_come = serve(load, WORK_MS, seed, true);
            assert!(
                urgent >= least,
                "load {load}, seed {seed}: {urgent} in time"
            );
            assert!(
                urgent >= first_come - 0.01,
                "load {load}, seed {seed}: {urgent} in time, first come first served {first_come}"
            );
        }
    }
}

#[test]
fn overload_in_time_with_runtime_near_target() {
    const SLOW_MS: f64 = 170.0;
    for load in [0.8_f64, 1.2, 1.6] {
        // Half of the capacity: a run takes up to 1.7 times the mean, which leaves no time to wait.
        let least = 0.5 * (1.0 / load).min(1.0);
        for seed in 0..5 {
            let urgent = serve(load, SLOW_MS, seed, false);
            assert!(
                urgent >= least,
                "load {load}, seed {seed}: {urgent} in time"
            );
        }
    }
}

#[test]
fn order_cases() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let urgency = |priority, target, deadline| Urgency {
        over_share: false,
        priority,
        target: at(target),
        deadline: at(deadline),
        expected: Duration::from_millis(50),
    };
    let cases = [
        (
            "lower priority number",
            urgency(0, 500, 900),
            urgency(1, 300, 900),
        ),
        ("earlier target", urgency(1, 300, 900), urgency(1, 500, 900)),
        ("still in time", urgency(2, 300, 900), urgency(0, 50, 900)),
        ("a good chance", urgency(2, 300, 900), urgency(0, 80, 900)),
        ("a fair chance", urgency(2, 60, 900), urgency(0, 40, 900)),
        (
            "the better of fair chances",
            urgency(1, 90, 900),
            urgency(1, 60, 900),
        ),
        (
            "late, earlier deadline",
            urgency(1, 50, 400),
            urgency(1, 40, 900),
        ),
    ];
    for (name, first, second) in cases {
        for pair in [[first, second], [second, first]] {
            let mut queue = Queue::default();
            for one in pair {
                assert_eq!(queue.push(one, one, 10, now), None);
            }
            assert_eq!(queue.pop(now), Some(first), "{name}");
        }
    }
}

#[test]
fn full_queue_evicts_the_least_urgent() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut queue = Queue::default();
    for (name, target) in [("a", 300), ("late", 10), ("b", 400)] {
        let urgency = Urgency {
            over_share: false,
            priority: 0,
            target: at(target),
            deadline: at(900),
            expected: Duration::from_millis(50),
        };
        let evicted = queue.push(urgency, name, 2, now);
        assert_eq!(evicted, (name == "b").then_some("late"));
    }
}

#[test]
fn late_requests_are_shed_when_enough_others_wait() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    for (enough, shed) in [(2, vec!["late"]), (3, vec![])] {
        let mut queue = Queue::default();
        for (name, target) in [("a", 300), ("late", 10), ("b", 400)] {
            let urgency = Urgency {
                over_share: false,
                priority: 0,
                target: at(target),
                deadline: at(900),
                expected: Duration::from_millis(50),
            };
            assert_eq!(queue.push(urgency, name, 10, now), None);
        }
        assert_eq!(queue.shed_late(now, enough), shed);
    }
}
