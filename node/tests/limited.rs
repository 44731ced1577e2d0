//! What callers get while backend servers take only so many requests a second, in simulated time.

use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::{Advertised, RateLimiter};
use membership::{Backend, Member, Phase, State, View};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{Baseline, Directory, Endpoint, InFlightGuard, Placing, Policy, choose};

const OWNERS: usize = 4;
const RUN: Duration = Duration::from_millis(220);
const HOP: Duration = Duration::from_millis(1);
const SECONDS: u64 = 30;

/// What became of the requests.
#[derive(Debug, Default)]
struct Outcome {
    sent: u32,
    /// By owner.
    ran: [u32; OWNERS],
    /// Asks that an owner refused for its rate.
    refused_asks: u32,
    /// Requests that no owner took.
    turned_away: u32,
}

/// An answer on its way.
struct Answer {
    at: Instant,
    ingress: usize,
    owner: usize,
    sent: Instant,
    _flight: InFlightGuard,
}

impl PartialEq for Answer {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Answer {}

impl PartialOrd for Answer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Answer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

/// Ingresses, and owners of one service of which some are limited.
struct Model {
    ingresses: Vec<(Directory, Baseline)>,
    rate_limiters: [RateLimiter; OWNERS],
    answers: BinaryHeap<Answer>,
    policy: Policy,
    rng: StdRng,
    outcome: Outcome,
}

impl Model {
    fn new(ingresses: usize, rates: [Option<f64>; OWNERS], start: Instant, seed: u64) -> Self {
        let policy = Policy {
            placing: Placing::Soonest,
            ..Policy::default()
        };
        let view = Rc::new(View::new((0..OWNERS).map(member).collect(), 1));
        let ingresses = (0..ingresses).map(|index| {
            let node = format!("i{index}").parse().expect("a node");
            let centre = "ba".parse().expect("a data centre");
            let mut directory = Directory::new(node, centre);
            directory.update(&view, &policy, start - Duration::from_secs(60));
            (directory, Baseline::default())
        });
        let rate_limiters = rates.map(|rate| {
            let mut rate_limiter = RateLimiter::new(start);
            if let Some(rate) = rate {
                rate_limiter.observe(Advertised::Rate(units::Rate(rate)), start, start);
            }
            rate_limiter
        });
        Self {
            ingresses: ingresses.collect(),
            rate_limiters,
            answers: BinaryHeap::new(),
            policy,
            rng: StdRng::seed_from_u64(seed),
            outcome: Outcome::default(),
        }
    }

    /// Takes the answers that are due.
    fn settle(&mut self, now: Instant) {
        while self.answers.peek().is_some_and(|answer| answer.at <= now) {
            let Some(answer) = self.answers.pop() else {
                return;
            };
            let endpoint = self.endpoint(answer.ingress, answer.owner);
            let latency = answer.at - answer.sent;
            endpoint.record_latency(latency, answer.at, &self.policy);
            let ratio = self.ingresses[answer.ingress].1.observe_latency(latency);
            endpoint.record_latency_ratio(ratio, answer.at, &self.policy);
            self.tell(&endpoint, answer.owner, answer.at);
        }
    }

    fn endpoint(&self, ingress: usize, owner: usize) -> Rc<Endpoint> {
        self.ingresses[ingress].0.endpoints()[owner].clone()
    }

    /// The owner tells the ingress when its next request is welcome.
    fn tell(&mut self, endpoint: &Endpoint, owner: usize, now: Instant) {
        match self.rate_limiters[owner].reserve_turn(0, now) {
            Some(turn) => endpoint.set_turn(turn, now),
            None => endpoint.clear_turn(),
        }
    }

    /// A request comes to an ingress.
    fn request(&mut self, now: Instant) {
        const ATTEMPTS: usize = 4;
        self.settle(now);
        self.outcome.sent += 1;
        let ingress = self.rng.random_range(0..self.ingresses.len());
        let mut tried: Vec<units::Node> = Vec::new();
        let mut limited = false;
        let mut at = now;
        while tried.len() < ATTEMPTS {
            let group = self.ingresses[ingress].0.find("menus", "v1");
            let group = group.expect("owners").clone();
            let chosen = choose(&group, &tried, 0.0, &self.policy, at, &mut self.rng);
            let chosen = chosen.filter(|one| !tried.contains(&one.node));
            let next = group.next_turn(&tried, at).cloned();
            let Some(endpoint) = chosen.or(next.filter(|_| !limited)) else {
                break;
            };
            endpoint.use_turn(at);
            let owner = owner_of(&endpoint);
            if self.rate_limiters[owner].is_open(at) {
                self.rate_limiters[owner].consume(at);
                self.outcome.ran[owner] += 1;
                let _flight = endpoint.count_in_flight();
                let answer = Answer {
                    at: at + RUN,
                    ingress,
                    owner,
                    sent: at,
                    _flight,
                };
                self.answers.push(answer);
                return;
            }
            self.outcome.refused_asks += 1;
            limited = true;
            at += HOP;
            self.tell(&endpoint, owner, at);
            tried.push(endpoint.node.clone());
        }
        self.outcome.turned_away += 1;
    }
}

fn member(index: usize) -> Rc<Member> {
    Rc::new(Member {
        node: format!("n{index}").parse().expect("a node"),
        data_centre: "ba".parse().expect("a data centre"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        mesh_address: format!("127.0.0.1:{}", 10 + index)
            .parse()
            .expect("an address"),
        incarnation: 1,
        state: State::Alive,
        backend: Some(Backend {
            service: "menus".into(),
            version: "v1".into(),
            slots: 9,
            connections: 20,
            phase: Phase::Ready,
            instance: 1,
        }),
    })
}

fn owner_of(endpoint: &Endpoint) -> usize {
    let number = endpoint.node.as_str().strip_prefix('n');
    number
        .and_then(|number| number.parse().ok())
        .expect("an owner")
}

/// What becomes of `per_second` requests a second at so many ingresses.
fn play(ingresses: usize, rates: [Option<f64>; OWNERS], per_second: f64, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut model = Model::new(ingresses, rates, start, seed);
    let mut now = start;
    while now < start + Duration::from_secs(SECONDS) {
        let uniform: f64 = model.rng.random();
        now += Duration::from_secs_f64(-(1.0 - uniform).ln() / per_second);
        model.request(now);
    }
    model.outcome
}

#[test]
fn those_with_room_carry_the_rest() {
    for ingresses in [10, 60] {
        for seed in 0..5 {
            let rates = [Some(2.4), Some(4.2), None, None];
            let outcome = play(ingresses, rates, 60.0, seed);
            assert_eq!(outcome.turned_away, 0, "{outcome:?}");
            // An ingress asks in vain once to learn of a limit, and no more often than it asks well.
            let learning = 2 * u32::try_from(ingresses).expect("few");
            let limited = outcome.ran[0] + outcome.ran[1];
            assert!(outcome.refused_asks <= learning + limited, "{outcome:?}");
        }
    }
}

#[test]
fn whole_service_at_its_limit() {
    for ingresses in [10, 60] {
        for seed in 0..5 {
            let rates = [Some(5.0); OWNERS];
            let outcome = play(ingresses, rates, 60.0, seed);
            // A request asks in vain once, not from owner to owner.
            assert!(outcome.refused_asks <= outcome.sent, "{outcome:?}");
            // The limits are used: at least nine in ten of what they allow.
            let allowed = 5.0 * 4.0 * f64::from(u32::try_from(SECONDS).expect("few"));
            let ran = f64::from(outcome.ran.iter().sum::<u32>());
            assert!(ran >= 0.9 * allowed, "{outcome:?}");
        }
    }
}
