//! Which backend server gets a request.

use std::rc;
use std::time::{Duration, Instant};

use membership::{Backend, Member, Phase, State, View};
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::{Directory, Endpoint, Group, Policy, choose};

fn member(node: &str, data_centre: &str, version: &str, phase: Phase) -> Member {
    Member {
        node: node.parse().expect("a node id"),
        data_centre: data_centre.parse().expect("a data centre"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        mesh_address: "127.0.0.1:2".parse().expect("an address"),
        incarnation: 1,
        state: State::Alive,
        backend: Some(Backend {
            service: "menus".into(),
            version: version.into(),
            slots: 10,
            connections: 20,
            phase,
            instance: 1,
        }),
    }
}

fn ready(node: &str, data_centre: &str) -> Member {
    member(node, data_centre, "v1", Phase::Ready)
}

fn view(members: Vec<Member>, generation: u64) -> rc::Rc<View> {
    rc::Rc::new(View::new(
        members.into_iter().map(rc::Rc::new).collect(),
        generation,
    ))
}

struct Bench {
    directory: Directory,
    policy: Policy,
    now: Instant,
    rng: StdRng,
}

impl Bench {
    fn new(members: Vec<Member>) -> Self {
        let node = "n0".parse().expect("a node id");
        let mut directory = Directory::new(node, "ba".parse().expect("a data centre"));
        let policy = Policy::default();
        let now = Instant::now();
        directory.update(&view(members, 1), &policy, now);
        Self {
            directory,
            policy,
            now,
            rng: StdRng::seed_from_u64(4),
        }
    }

    fn group(&self) -> rc::Rc<Group> {
        self.directory.find("menus", "v1").expect("a group").clone()
    }

    fn endpoint(&self, node: &str) -> rc::Rc<Endpoint> {
        let group = self.group();
        let mut all = group.all();
        all.find(|one| one.node.as_str() == node)
            .expect("an endpoint")
            .clone()
    }

    /// How often each node is chosen in 1,000 choices, by name.
    fn choices(&mut self) -> Vec<(String, u32)> {
        let group = self.group();
        let mut counts: Vec<_> = group.all().map(|one| (one.node.to_string(), 0)).collect();
        for _ in 0..1_000 {
            let chosen = choose(&group, &[], 0.0, &self.policy, self.now, &mut self.rng);
            let chosen = chosen.expect("a choice").node.to_string();
            let count = counts.iter_mut().find(|count| count.0 == chosen);
            count.expect("a known node").1 += 1;
        }
        counts
    }

    fn share(&mut self, node: &str) -> u32 {
        let choices = self.choices();
        choices
            .iter()
            .find(|one| one.0 == node)
            .expect("a known node")
            .1
    }

    fn fail(&self, node: &str, times: u32) {
        let endpoint = self.endpoint(node);
        for _ in 0..times {
            let mut health = endpoint.health.get();
            let allowed = self.group().may_eject(&self.policy);
            health.fail(self.now, &self.policy, allowed);
            endpoint.health.set(health);
        }
    }
}

#[test]
fn choose_evenly() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "ba"), ready("c", "ba")]);
    for (node, count) in bench.choices() {
        assert!((200..=470).contains(&count), "{node}: {count}");
    }
}

#[test]
fn choose_less_busy() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "ba")]);
    let busy = bench.endpoint("a");
    let _flights: Vec<_> = (0..5).map(|_| busy.start()).collect();
    assert_eq!(bench.share("b"), 1_000);
}

#[test]
fn choose_faster() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "ba")]);
    let slow = bench.endpoint("a");
    slow.observe(Duration::from_millis(80), bench.now, &bench.policy);
    assert_eq!(bench.share("b"), 1_000);
}

#[test]
fn choose_own_data_centre_until_crowded() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "nadi")]);
    assert_eq!(bench.share("a"), 1_000);
    bench.endpoint("a").report(0.85, bench.now);
    assert_eq!(bench.share("b"), 1_000);
    bench.endpoint("b").report(0.95, bench.now);
    assert_eq!(bench.share("a"), 1_000);
    bench.now += Duration::from_secs(2);
    assert_eq!(bench.share("a"), 1_000);
}

#[test]
fn choose_after_refusal() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "ba")]);
    bench
        .endpoint("a")
        .refuse(Duration::from_millis(100), bench.now);
    assert_eq!(bench.share("b"), 1_000);
    bench.now += Duration::from_millis(101);
    assert!(bench.share("a") > 200);
}

#[test]
fn eject_and_way_back() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "ba"), ready("c", "ba")]);
    bench.fail("a", 4);
    assert!(bench.share("a") > 200);
    bench.fail("a", 1);
    assert_eq!(bench.share("a"), 0);
    bench.now += Duration::from_millis(1_001);
    let endpoint = bench.endpoint("a");
    assert_eq!(
        endpoint.health.get().verdict(bench.now),
        routing::Verdict::Probe
    );
    let mut health = endpoint.health.get();
    health.probe(bench.now, Duration::from_secs(1));
    endpoint.health.set(health);
    assert_eq!(bench.share("a"), 0);
    // A failed trial ejects for twice as long.
    bench.fail("a", 1);
    bench.now += Duration::from_millis(1_999);
    assert_eq!(bench.share("a"), 0);
    bench.now += Duration::from_millis(2);
    let mut health = endpoint.health.get();
    health.succeed();
    endpoint.health.set(health);
    assert!(bench.share("a") > 200);
}

#[test]
fn eject_at_most_half() {
    let names = ["a", "b", "c", "d"];
    let bench = Bench::new(names.iter().map(|name| ready(name, "ba")).collect());
    for name in names {
        bench.fail(name, 9);
    }
    let group = bench.group();
    let ejected = group
        .all()
        .filter(|one| one.health.get().is_ejected())
        .count();
    assert_eq!(ejected, 2);
}

#[test]
fn choose_when_all_ejected() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "ba")]);
    bench.policy.eject_share = units::Share::WHOLE;
    bench.fail("a", 5);
    bench.fail("b", 5);
    assert!(bench.share("a") > 0);
}

#[test]
fn slow_start_share() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "ba")]);
    bench.now += Duration::from_secs(20);
    let members = vec![ready("a", "ba"), ready("b", "ba"), ready("c", "ba")];
    bench
        .directory
        .update(&view(members, 2), &bench.policy, bench.now);
    let fresh = bench.endpoint("c");
    let parts = [(0, 0.1), (5, 0.5), (10, 1.0), (60, 1.0)];
    for (seconds, part) in parts {
        let at = bench.now + Duration::from_secs(seconds);
        assert!(
            (fresh.warmth(at, &bench.policy) - part).abs() < 1e-9,
            "{seconds}"
        );
    }
}

#[test]
fn update_by_phase() {
    let phases = [Phase::Starting, Phase::Ready, Phase::Draining];
    for phase in phases {
        let members = vec![member("a", "ba", "v1", phase)];
        let bench = Bench::new(members);
        let found = bench.directory.find("menus", "v1").is_some();
        assert_eq!(found, phase == Phase::Ready, "{phase:?}");
    }
}

#[test]
fn update_keeps_what_is_known() {
    let mut bench = Bench::new(vec![ready("a", "ba"), ready("b", "ba")]);
    let before = bench.endpoint("a");
    let mut restarted = ready("b", "ba");
    restarted
        .backend
        .as_mut()
        .expect("a backend server")
        .instance = 2;
    let members = vec![ready("a", "ba"), restarted];
    let (old, policy, now) = (bench.endpoint("b"), bench.policy.clone(), bench.now);
    bench.directory.update(&view(members, 2), &policy, now);
    assert!(rc::Rc::ptr_eq(&before, &bench.endpoint("a")));
    assert!(!rc::Rc::ptr_eq(&old, &bench.endpoint("b")));
}

/// One change at a time leads to the same groups as a fresh look.
#[test]
fn update_step_by_step() {
    let names = ["a", "b", "c", "d", "e"];
    let phases = [Phase::Ready, Phase::Draining, Phase::Starting];
    let mut rng = StdRng::seed_from_u64(11);
    let mut members: Vec<_> = names
        .iter()
        .map(|name| rc::Rc::new(ready(name, "ba")))
        .collect();
    let mut bench = Bench::new(vec![ready("a", "ba")]);
    for generation in 2..300 {
        let place = rand::Rng::random_range(&mut rng, 0..names.len());
        let version = if rand::Rng::random(&mut rng) {
            "v1"
        } else {
            "v2"
        };
        let phase = phases[rand::Rng::random_range(&mut rng, 0..phases.len())];
        let data_centre = if generation % 3 == 0 { "ba" } else { "nadi" };
        members[place] = rc::Rc::new(member(names[place], data_centre, version, phase));
        let shown = members
            .iter()
            .filter(|_| rand::Rng::random_ratio(&mut rng, 9, 10));
        let view = rc::Rc::new(View::new(shown.cloned().collect(), generation));
        bench.directory.update(&view, &bench.policy, bench.now);
        let node = "n0".parse().expect("a node id");
        let mut fresh = Directory::new(node, "ba".parse().expect("a data centre"));
        fresh.update(&view, &bench.policy, bench.now);
        for version in ["v1", "v2"] {
            let nodes = |directory: &Directory| {
                let group = directory.find("menus", version);
                let all = group.iter().flat_map(|group| group.all());
                all.map(|one| (one.node.to_string(), one.local))
                    .collect::<Vec<_>>()
            };
            assert_eq!(
                nodes(&bench.directory),
                nodes(&fresh),
                "{generation} {version}"
            );
        }
    }
}
