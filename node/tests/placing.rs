//! Simulation of the placing by remaining work: several ingresses, backend servers of different speeds that
//! slow down at times, runtimes that vary widely, and reports that are some milliseconds old.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::Work;
use membership::{Backend, Member, Phase, State, View};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{Baseline, Demand, Directory, InFlightGuard, Placing, Policy};

const SPEEDS: [f64; 8] = [0.5, 0.7, 0.7, 1.0, 1.0, 1.3, 1.4, 1.7];
const INGRESSES: usize = 8;
const SLOTS: usize = 8;
const QUEUE: usize = 2 * SLOTS;
const REQUESTS: usize = 8_000;
const TARGET: Duration = Duration::from_millis(600);
/// A server is slow for this time, by this factor, in this part of the periods.
const SLOW: (Duration, f64, f64) = (Duration::from_millis(600), 2.5, 0.15);
const ROUTE: u64 = 7;
/// Servers that a request is sent to until one takes it.
const ATTEMPTS: usize = 2;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Choice {
    LeastWork,
    Soonest,
    LeastInFlight,
    RoundRobin,
    /// The earliest end, with all runtimes known.
    Omniscient,
}

/// A request at a server.
struct Request {
    arrived: Instant,
    ingress: usize,
    work_ms: f64,
    flight: InFlightGuard,
}

#[derive(Default)]
struct Server {
    work: Work,
    /// Ends of the runs, the earliest first.
    ends: BinaryHeap<Reverse<Instant>>,
    queue: VecDeque<Request>,
    /// Periods in which the server is slow.
    slow: Vec<bool>,
}

/// What is due: the end of a run at a server, then its answer at the ingress.
enum Due {
    End(usize, Instant, Request),
    Answer(usize, f64, admission::Report, Request),
}

struct Model {
    choice: Choice,
    policy: Policy,
    rng: StdRng,
    start: Instant,
    servers: Vec<Server>,
    ingresses: Vec<(Directory, Baseline)>,
    due: BinaryHeap<(Reverse<Instant>, usize)>,
    dues: Vec<Option<Due>>,
    in_time: usize,
    turn: usize,
}

impl Model {
    fn new(choice: Choice, seed: u64) -> Self {
        let placing = if choice == Choice::LeastWork {
            Placing::LeastWork
        } else {
            Placing::Soonest
        };
        let policy = Policy {
            placing,
            ..Policy::default()
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now() + Duration::from_secs(60);
        let view = Rc::new(View::new((0..SPEEDS.len()).map(member).collect(), 1));
        let ingresses = (0..INGRESSES).map(|index| {
            let node = format!("i{index}").parse().expect("a node");
            let centre = "ba".parse().expect("a data centre");
            let mut directory = Directory::new(node, centre);
            directory.update(&view, &policy, start - Duration::from_secs(60));
            (directory, Baseline::default())
        });
        let ingresses = ingresses.collect();
        let servers = SPEEDS.iter().map(|_| Server {
            slow: (0..1_000).map(|_| rng.random_bool(SLOW.2)).collect(),
            ..Server::default()
        });
        Self {
            choice,
            servers: servers.collect(),
            ingresses,
            policy,
            rng,
            start,
            due: BinaryHeap::new(),
            dues: Vec::new(),
            in_time: 0,
            turn: 0,
        }
    }

    /// Returns the share of the requests answered in time, at `load` relative to the capacity.
    fn run(mut self, load: f64) -> f64 {
        const MEAN_WORK_MS: f64 = 100.0;
        let (_, factor, share) = SLOW;
        let slots: f64 = SPEEDS.iter().sum::<f64>() * SLOTS as f64;
        let rate = load * slots / MEAN_WORK_MS / (1.0 + share * (factor - 1.0));
        let mut now = self.start;
        for _ in 0..REQUESTS {
            let gap_ms = -self.rng.random::<f64>().max(1e-9).ln() / rate;
            now += Duration::from_secs_f64(gap_ms / 1_000.0);
            self.settle(now);
            // 3 of 100 take seven times as long; the mean is the mean work.
            let tail = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
            let work_ms = MEAN_WORK_MS / 1.18 * tail * self.rng.random_range(0.2..1.8);
            let ingress = self.rng.random_range(0..INGRESSES);
            let mut tried = Vec::new();
            while tried.len() < ATTEMPTS && !self.send(ingress, work_ms, &mut tried, now) {}
        }
        self.settle(now + Duration::from_secs(60));
        self.in_time as f64 / REQUESTS as f64
    }

    /// Sends a request to a server that is not in `tried`; returns false if its owner refuses it.
    fn send(&mut self, ingress: usize, work_ms: f64, tried: &mut Vec<usize>, now: Instant) -> bool {
        const BUSY: Duration = Duration::from_millis(100);
        let server = self.choose(ingress, work_ms, tried, now);
        tried.push(server);
        let endpoint = self.ingresses[ingress].0.endpoints()[server].clone();
        let request = Request {
            arrived: now,
            ingress,
            work_ms,
            flight: endpoint.count_in_flight(),
        };
        let one = &mut self.servers[server];
        if one.ends.len() < SLOTS {
            self.start_run(server, request, now);
        } else if one.queue.len() < QUEUE {
            one.queue.push_back(request);
        } else {
            let (load, report) = self.report(server, now);
            self.answer(server, load, &report, &request, None, now);
            endpoint.record_refusal(BUSY, now);
            return false;
        }
        true
    }

    fn choose(&mut self, ingress: usize, work_ms: f64, tried: &[usize], now: Instant) -> usize {
        let (directory, baseline) = &self.ingresses[ingress];
        let servers = (0..SPEEDS.len()).filter(|server| !tried.contains(server));
        match self.choice {
            Choice::RoundRobin => {
                self.turn += 1;
                self.turn % SPEEDS.len()
            }
            Choice::LeastInFlight => {
                let in_flight = |server: &usize| directory.endpoints()[*server].in_flight();
                servers.min_by_key(in_flight).expect("servers")
            }
            Choice::Omniscient => servers
                .min_by_key(|server| self.end(*server, work_ms, now))
                .expect("servers"),
            Choice::Soonest | Choice::LeastWork => {
                let group = directory.find("menus", "v1").expect("a group");
                let demand = Demand {
                    bytes: 0.0,
                    work_ms: baseline.work_ms(),
                };
                let (policy, rng) = (&self.policy, &mut self.rng);
                let node = |server: &usize| directory.endpoints()[*server].node.clone();
                let tried: Vec<_> = tried.iter().map(node).collect();
                let chosen = routing::choose(group, &tried, demand, policy, now, rng);
                let node = &chosen.expect("a server").node;
                let all = directory.endpoints().iter();
                all.map(|one| &one.node)
                    .position(|one| one == node)
                    .expect("a server")
            }
        }
    }

    /// Returns the end of a request of `work_ms` if it is sent to `server`.
    fn end(&self, server: usize, work_ms: f64, now: Instant) -> Instant {
        let one = &self.servers[server];
        let mut ends = one.ends.clone();
        let waiting = one.queue.iter().map(|request| request.work_ms);
        let mut end = now;
        for work_ms in waiting.chain([work_ms]) {
            let start = if ends.len() < SLOTS {
                now
            } else {
                ends.pop().expect("runs").0
            };
            end = start + self.runtime(server, work_ms, start);
            ends.push(Reverse(end));
        }
        end
    }

    fn runtime(&self, server: usize, work_ms: f64, at: Instant) -> Duration {
        let period = (at - self.start).as_millis() / SLOW.0.as_millis();
        let slow = &self.servers[server].slow;
        let is_slow = slow[usize::try_from(period).expect("a number") % slow.len()];
        let factor = if is_slow { SLOW.1 } else { 1.0 };
        Duration::from_secs_f64(work_ms * factor / SPEEDS[server] / 1_000.0)
    }

    fn start_run(&mut self, server: usize, request: Request, now: Instant) {
        let end = now + self.runtime(server, request.work_ms, now);
        let one = &mut self.servers[server];
        one.ends.push(Reverse(end));
        one.work.start(ROUTE, now);
        self.schedule(end, Due::End(server, now, request));
    }

    fn schedule(&mut self, at: Instant, due: Due) {
        self.due.push((Reverse(at), self.dues.len()));
        self.dues.push(Some(due));
    }

    /// Applies what is due until `now`.
    fn settle(&mut self, now: Instant) {
        while self.due.peek().is_some_and(|next| next.0.0 <= now) {
            let (Reverse(at), index) = self.due.pop().expect("one was seen");
            match self.dues[index].take().expect("due once") {
                Due::End(server, started, request) => self.end_run(server, started, request, at),
                Due::Answer(server, load, report, request) => {
                    let latency = at - request.arrived;
                    self.answer(server, load, &report, &request, Some(latency), at);
                }
            }
        }
    }

    fn end_run(&mut self, server: usize, started: Instant, request: Request, now: Instant) {
        self.in_time += usize::from(now - request.arrived <= TARGET);
        let one = &mut self.servers[server];
        one.ends.pop();
        one.work.end(ROUTE, started);
        one.work.add(ROUTE, now - started);
        while let Some(next) = self.servers[server].queue.pop_front() {
            if now - next.arrived < TARGET {
                self.start_run(server, next, now);
                break;
            }
        }
        let (load, report) = self.report(server, now);
        let delay = Duration::from_millis(self.rng.random_range(5..=50));
        self.schedule(now + delay, Due::Answer(server, load, report, request));
    }

    /// Returns what the owner of `server` tells with an answer.
    fn report(&self, server: usize, now: Instant) -> (f64, admission::Report) {
        let one = &self.servers[server];
        let waiting = one.queue.iter().map(|_| ROUTE);
        let report = one.work.report(ROUTE, SLOTS, waiting, now);
        let load = (one.ends.len() + one.queue.len()) as f64 / SLOTS as f64;
        (load, report)
    }

    fn answer(
        &mut self,
        server: usize,
        load: f64,
        report: &admission::Report,
        request: &Request,
        latency: Option<Duration>,
        now: Instant,
    ) {
        let (directory, baseline) = &self.ingresses[request.ingress];
        let endpoint = &directory.endpoints()[server];
        assert_eq!(endpoint.node, request.flight.endpoint().node);
        endpoint.record_load(load, now);
        if self.choice == Choice::LeastWork {
            let report = routing::Report {
                start_ms: report.start.as_secs_f64() * 1_000.0,
                typical_ms: report.typical.as_secs_f64() * 1_000.0,
                runs: report.runs,
            };
            endpoint.record_work(&report, baseline, now);
        } else if let Some(latency) = latency {
            let ratio = baseline.observe_latency(latency);
            endpoint.record_latency_ratio(ratio, now, &self.policy);
        }
    }
}

fn member(index: usize) -> Rc<Member> {
    let address = format!("10.0.0.{}:80", index + 1);
    let address = address.parse().expect("an address");
    Rc::new(Member {
        node: format!("n{index}").parse().expect("a node"),
        data_centre: "ba".parse().expect("a data centre"),
        peer_address: address,
        mesh_address: address,
        incarnation: 1,
        state: State::Alive,
        backend: Some(Backend {
            service: "menus".into(),
            version: "v1".into(),
            slots: u32::try_from(SLOTS).expect("small"),
            connections: 64,
            phase: Phase::Ready,
            instance: 1,
        }),
    })
}

#[test]
fn least_work_is_close_to_full_knowledge_at_all_loads() {
    /// Part of what full knowledge answers in time that old reports may leave.
    const PART_MIN: f64 = 0.9;
    for load in [0.7, 0.85, 1.0, 1.2] {
        for seed in 0..2 {
            let share = |choice| Model::new(choice, seed).run(load);
            let least_work = share(Choice::LeastWork);
            let best = share(Choice::Omniscient);
            let others = [Choice::Soonest, Choice::LeastInFlight, Choice::RoundRobin];
            let others = others.map(|choice| (choice, share(choice)));
            println!("load {load} seed {seed}: {least_work:.3} of {best:.3}, others {others:.3?}");
            assert!(
                least_work >= best * PART_MIN,
                "load {load}, seed {seed}: {least_work} in time, {best} with full knowledge"
            );
            for (choice, other) in others {
                assert!(
                    least_work >= other - 0.01,
                    "load {load}, seed {seed}: {least_work} in time, {choice:?} {other}"
                );
            }
        }
    }
}
