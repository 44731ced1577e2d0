//! Simulation of the choice of backend servers: which share of requests is answered within the target.

use std::collections::BinaryHeap;
use std::rc;
use std::time::{Duration, Instant};

use membership::{Backend, Member, Phase, State, View};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{Baseline, Directory, Endpoint, Group, InFlightGuard, Placing, Policy};

const SLOTS: u32 = 16;
const WORK_MS: f64 = 90.0;
const TARGET_MS: f64 = 300.0;
/// Service time of each backend server as a multiple of the mean one.
const WORK_FACTORS: [f64; 5] = [1.5, 1.0, 1.0, 0.8, 0.7];

/// Simulated backend server with slots and a queue.
#[derive(Default)]
struct Server {
    running: u32,
    queue: Vec<(Instant, InFlightGuard)>,
}

/// Completion of a request: its time, its server and the arrival time of the request.
struct Completion {
    at: Instant,
    server: usize,
    arrived: Instant,
    flight: InFlightGuard,
}

impl PartialEq for Completion {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Completion {}

impl PartialOrd for Completion {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Completion {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

fn group(now: Instant, policy: &Policy) -> rc::Rc<Group> {
    let members = (0..WORK_FACTORS.len()).map(|index| {
        let address = format!("10.0.0.{}:80", index + 1)
            .parse()
            .expect("an address");
        rc::Rc::new(Member {
            node: format!("n{index}").parse().expect("a node"),
            data_centre: "ba".parse().expect("a data centre"),
            peer_address: address,
            mesh_address: address,
            incarnation: 1,
            state: State::Alive,
            backend: Some(Backend {
                service: "menus".into(),
                version: "v1".into(),
                slots: SLOTS,
                connections: SLOTS,
                phase: Phase::Ready,
                instance: 1,
            }),
        })
    });
    let view = rc::Rc::new(View::new(members.collect(), 1));
    let centre = "ba".parse().expect("a data centre");
    let mut directory = Directory::new("n0".parse().expect("a node"), centre);
    directory.update(&view, policy, now);
    directory.find("menus", "v1").expect("a group").clone()
}

/// Returns the share of requests answered within the target at `load`, a fraction of the total capacity.
fn simulate(load: f64, seed: u64, least_in_flight: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let policy = Policy {
        placing: Placing::Soonest,
        ..Policy::default()
    };
    let start = Instant::now();
    let group = group(start, &policy);
    // The slow start of the backend servers is over.
    let start = start + Duration::from_secs(60);
    let servers: Vec<rc::Rc<Endpoint>> = group.all().cloned().collect();
    let mut simulated: Vec<Server> = WORK_FACTORS.iter().map(|_| Server::default()).collect();
    let mut completions: BinaryHeap<Completion> = BinaryHeap::new();
    let baseline = Baseline::default();
    let capacity: f64 = WORK_FACTORS
        .iter()
        .map(|factor| f64::from(SLOTS) / (WORK_MS * factor))
        .sum();
    let (mut now, mut total, mut in_time) = (start, 0_u32, 0_u32);
    while total < 30_000 {
        let gap = -rng.random::<f64>().max(1e-9).ln() / (capacity * load);
        let arrival = now + Duration::from_secs_f64(gap / 1_000.0);
        while completions.peek().is_some_and(|next| next.at <= arrival) {
            let completion = completions.pop().expect("one was seen");
            let server = &mut simulated[completion.server];
            let endpoint = &servers[completion.server];
            server.running -= 1;
            let latency = completion.at - completion.arrived;
            in_time += u32::from(latency.as_secs_f64() * 1_000.0 <= TARGET_MS);
            drop(completion.flight);
            if !server.queue.is_empty() {
                let (arrived, flight) = server.queue.remove(0);
                server.running += 1;
                let (index, at) = (completion.server, completion.at);
                completions.push(start_run(index, at, arrived, flight, &mut rng));
            }
            let busy = server.running as usize + server.queue.len();
            endpoint.record_load(busy as f64 / f64::from(SLOTS), completion.at);
            let ratio = baseline.observe_latency(latency);
            endpoint.record_latency_ratio(ratio, completion.at, &policy);
        }
        now = arrival;
        total += 1;
        let chosen = if least_in_flight {
            let least = servers.iter().min_by_key(|endpoint| endpoint.in_flight());
            least.expect("there are servers").clone()
        } else {
            routing::choose(&group, &[], 0.0, &policy, now, &mut rng).expect("a server")
        };
        let index = servers.iter().position(|server| server.node == chosen.node);
        let index = index.expect("it is one of them");
        let flight = chosen.count_in_flight();
        let server = &mut simulated[index];
        if server.running < SLOTS {
            server.running += 1;
            completions.push(start_run(index, now, now, flight, &mut rng));
        } else {
            server.queue.push((now, flight));
        }
    }
    f64::from(in_time) / f64::from(total)
}

fn start_run(
    server: usize,
    at: Instant,
    arrived: Instant,
    flight: InFlightGuard,
    rng: &mut StdRng,
) -> Completion {
    let work_ms = WORK_MS * WORK_FACTORS[server] * rng.random_range(0.3..1.7);
    Completion {
        at: at + Duration::from_secs_f64(work_ms / 1_000.0),
        server,
        arrived,
        flight,
    }
}

#[test]
fn placing_servers_of_different_speeds() {
    for (load, minimum) in [(0.6, 0.99), (0.85, 0.98), (0.95, 0.9)] {
        for seed in 0..3 {
            let soonest = simulate(load, seed, false);
            let baseline = simulate(load, seed, true);
            assert!(
                soonest >= minimum,
                "load {load}, seed {seed}: {soonest} in time"
            );
            assert!(
                soonest >= baseline - 0.01,
                "load {load}, seed {seed}: {soonest} in time, least in flight {baseline}"
            );
        }
    }
}
