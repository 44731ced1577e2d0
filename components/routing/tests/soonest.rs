//! What callers get by the choice of backend servers, in simulated time.

use std::collections::BinaryHeap;
use std::rc;
use std::time::{Duration, Instant};

use membership::{Backend, Member, Phase, State, View};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{Directory, Endpoint, Flight, Group, Placing, Policy, Usual};

const SLOTS: u32 = 16;
const WORK_MS: f64 = 90.0;
const TARGET_MS: f64 = 300.0;
/// Work of each backend server as a multiple of the mean one's.
const SLOWNESS: [f64; 5] = [1.5, 1.0, 1.0, 0.8, 0.7];

/// A backend server of the model: its slots and its queue.
#[derive(Default)]
struct Server {
    running: u32,
    queue: Vec<(Instant, Flight)>,
}

/// An end of a request: when, at which server, and when it had arrived.
struct End {
    at: Instant,
    server: usize,
    arrived: Instant,
    flight: Flight,
}

impl PartialEq for End {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for End {}

impl PartialOrd for End {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for End {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

fn group(now: Instant, policy: &Policy) -> rc::Rc<Group> {
    let members = (0..SLOWNESS.len()).map(|index| {
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

/// Part of the requests that are answered by their target at `load` of what all slots can run.
fn serve(load: f64, seed: u64, least_in_flight: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let policy = Policy {
        placing: Placing::Soonest,
        ..Policy::default()
    };
    let start = Instant::now();
    let group = group(start, &policy);
    // Backend servers that have been there for long.
    let start = start + Duration::from_secs(60);
    let servers: Vec<rc::Rc<Endpoint>> = group.all().cloned().collect();
    let mut model: Vec<Server> = SLOWNESS.iter().map(|_| Server::default()).collect();
    let mut ends: BinaryHeap<End> = BinaryHeap::new();
    let usual = Usual::default();
    let capacity: f64 = SLOWNESS
        .iter()
        .map(|one| f64::from(SLOTS) / (WORK_MS * one))
        .sum();
    let (mut now, mut total, mut in_time) = (start, 0_u32, 0_u32);
    while total < 30_000 {
        let gap = -rng.random::<f64>().max(1e-9).ln() / (capacity * load);
        let arrival = now + Duration::from_secs_f64(gap / 1_000.0);
        while ends.peek().is_some_and(|end| end.at <= arrival) {
            let end = ends.pop().expect("one was seen");
            let server = &mut model[end.server];
            let endpoint = &servers[end.server];
            server.running -= 1;
            let latency = end.at - end.arrived;
            in_time += u32::from(latency.as_secs_f64() * 1_000.0 <= TARGET_MS);
            drop(end.flight);
            if !server.queue.is_empty() {
                let (arrived, flight) = server.queue.remove(0);
                server.running += 1;
                let (place, at) = (end.server, end.at);
                ends.push(run(place, at, arrived, flight, &mut rng));
            }
            let busy = server.running as usize + server.queue.len();
            endpoint.report(busy as f64 / f64::from(SLOTS), end.at);
            let ratio = usual.compare(latency);
            endpoint.compare(ratio, end.at, &policy);
        }
        now = arrival;
        total += 1;
        let chosen = if least_in_flight {
            let least = servers.iter().min_by_key(|one| one.in_flight());
            least.expect("there are servers").clone()
        } else {
            routing::choose(&group, &[], 0.0, &policy, now, &mut rng).expect("a server")
        };
        let place = servers.iter().position(|one| one.node == chosen.node);
        let place = place.expect("it is one of them");
        let flight = chosen.start();
        let server = &mut model[place];
        if server.running < SLOTS {
            server.running += 1;
            ends.push(run(place, now, now, flight, &mut rng));
        } else {
            server.queue.push((now, flight));
        }
    }
    f64::from(in_time) / f64::from(total)
}

fn run(server: usize, at: Instant, arrived: Instant, flight: Flight, rng: &mut StdRng) -> End {
    let work = WORK_MS * SLOWNESS[server] * rng.random_range(0.3..1.7);
    End {
        at: at + Duration::from_secs_f64(work / 1_000.0),
        server,
        arrived,
        flight,
    }
}

#[test]
fn placing_servers_of_different_speeds() {
    for (load, least) in [(0.6, 0.99), (0.85, 0.98), (0.95, 0.9)] {
        for seed in 0..3 {
            let soonest = serve(load, seed, false);
            let baseline = serve(load, seed, true);
            assert!(
                soonest >= least,
                "load {load}, seed {seed}: {soonest} in time"
            );
            assert!(
                soonest >= baseline - 0.01,
                "load {load}, seed {seed}: {soonest} in time, least in flight {baseline}"
            );
        }
    }
}
