//! Callers that send refused requests again to an overloaded owner, in simulated time: the queue has to tell
//! late repeated requests from first attempts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use admission::{Queue, Urgency};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::Baseline;

const SLOTS: usize = 6;
const QUEUE_LIMIT: usize = 24;
const WORK_MS: f64 = 115.0;
const TARGET: Duration = Duration::from_millis(300);
/// Longest time that the route lets a request take.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_000);
const MAX_ATTEMPTS: u32 = 3;
/// Requests of one play, without the repeated ones.
const REQUESTS: u32 = 10_000;

/// Attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    /// Time of the caller's first attempt.
    first: Instant,
    /// Time at which the caller gives up.
    gives_up: Instant,
    number: u32,
}

/// Event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(Attempt),
    /// The run of a request ends.
    End(Attempt),
}

/// An owner and the callers that send requests to it.
struct World {
    rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    queue: Queue<Attempt>,
    running: usize,
    baseline: Baseline,
    infers: bool,
    in_time: u32,
}

impl World {
    /// Schedules the first attempts at `load` relative to the capacity of the slots.
    fn new(load: f64, seed: u64, infers: bool) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            queue: Queue::default(),
            running: 0,
            baseline: Baseline::default(),
            infers,
            in_time: 0,
        };
        let gap_ms = WORK_MS / (load * SLOTS as f64);
        let mut first = Instant::now();
        for _ in 0..REQUESTS {
            let gap = -world.rng.random::<f64>().max(1e-9).ln() * gap_ms;
            first += Duration::from_secs_f64(gap / 1_000.0);
            let timeout = world.rng.random_range(1_700..2_000);
            let attempt = Attempt {
                first,
                gives_up: first + Duration::from_millis(timeout),
                number: 1,
            };
            world.events.push(Reverse((first, Event::Arrival(attempt))));
        }
        world
    }

    /// Returns the share of the requests that are answered by their target.
    fn play(mut self) -> f64 {
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Arrival(attempt) => self.arrive(attempt, now),
                Event::End(attempt) => self.end(attempt, now),
            }
        }
        f64::from(self.in_time) / f64::from(REQUESTS)
    }

    fn arrive(&mut self, attempt: Attempt, now: Instant) {
        let timeout = attempt.gives_up.saturating_duration_since(now);
        let spent = self.baseline.observe_timeout(timeout);
        let spent = if self.infers { spent } else { Duration::ZERO };
        if self.running < SLOTS {
            return self.run(attempt, now);
        }
        let urgency = Urgency {
            over_share: false,
            priority: 0,
            target: now + TARGET.saturating_sub(spent),
            deadline: now + timeout.min(ROUTE_TIMEOUT),
            expected: Duration::from_secs_f64(WORK_MS / 1_000.0),
        };
        if let Some(evicted) = self.queue.push(urgency, attempt, QUEUE_LIMIT, now) {
            self.refuse(evicted, now);
        }
    }

    fn run(&mut self, attempt: Attempt, now: Instant) {
        self.running += 1;
        let work_ms = WORK_MS * self.rng.random_range(0.7..1.3);
        let end = now + Duration::from_secs_f64(work_ms / 1_000.0);
        self.events.push(Reverse((end, Event::End(attempt))));
    }

    fn end(&mut self, attempt: Attempt, now: Instant) {
        self.in_time += u32::from(now <= attempt.first + TARGET);
        self.running -= 1;
        for shed in self.queue.shed_late(now, SLOTS) {
            self.refuse(shed, now);
        }
        if let Some(next) = self.queue.pop(now) {
            self.run(next, now);
        }
    }

    /// Refuses an attempt, which its caller sends again if it has attempts left.
    fn refuse(&mut self, attempt: Attempt, now: Instant) {
        let again = now + Duration::from_millis(self.rng.random_range(50..250));
        if attempt.number < MAX_ATTEMPTS && again < attempt.gives_up {
            let number = attempt.number + 1;
            let event = Event::Arrival(Attempt { number, ..attempt });
            self.events.push(Reverse((again, event)));
        }
    }
}

#[test]
fn overload_with_repeated_requests_in_time() {
    // Nine tenths of the capacity of the slots, or half of it where most requests are repeated ones.
    for (load, fraction) in [(0.8_f64, 0.9), (1.2, 0.9), (1.6, 0.5)] {
        let least = fraction * (1.0 / load).min(1.0);
        for seed in 0..5 {
            let inferred = World::new(load, seed, true).play();
            let unaware = World::new(load, seed, false).play();
            assert!(
                inferred >= least,
                "load {load}, seed {seed}: {inferred} in time"
            );
            assert!(
                inferred >= unaware - 0.01,
                "load {load}, seed {seed}: {inferred} in time, {unaware} without inference"
            );
        }
    }
}
