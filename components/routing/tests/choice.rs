//! Tests of the choice of a backend server.

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

struct Fixture {
    directory: Directory,
    policy: Policy,
    now: Instant,
    rng: StdRng,
}

impl Fixture {
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
        all.find(|endpoint| endpoint.node.as_str() == node)
            .expect("an endpoint")
            .clone()
    }

    /// Returns how often each node is chosen in 1,000 choices, by name.
    fn choices(&mut self) -> Vec<(String, u32)> {
        let group = self.group();
        let mut counts: Vec<_> = group
            .all()
            .map(|endpoint| (endpoint.node.to_string(), 0))
            .collect();
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
            .find(|choice| choice.0 == node)
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
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "ba"), ready("c", "ba")]);
    for (node, count) in fixture.choices() {
        assert!((200..=470).contains(&count), "{node}: {count}");
    }
}

#[test]
fn choose_less_busy() {
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "ba")]);
    let busy = fixture.endpoint("a");
    let _flights: Vec<_> = (0..5).map(|_| busy.count_in_flight()).collect();
    assert_eq!(fixture.share("b"), 1_000);
}

#[test]
fn choose_faster() {
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "ba")]);
    let slow = fixture.endpoint("a");
    slow.record_latency(Duration::from_millis(80), fixture.now, &fixture.policy);
    assert_eq!(fixture.share("b"), 1_000);
}

#[test]
fn choose_own_data_centre_until_near_limit() {
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "nadi")]);
    assert_eq!(fixture.share("a"), 1_000);
    fixture.endpoint("a").record_load(0.85, fixture.now);
    assert_eq!(fixture.share("b"), 1_000);
    fixture.endpoint("b").record_load(0.95, fixture.now);
    assert_eq!(fixture.share("a"), 1_000);
    fixture.now += Duration::from_secs(2);
    assert_eq!(fixture.share("a"), 1_000);
}

#[test]
fn choose_after_refusal() {
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "ba")]);
    fixture
        .endpoint("a")
        .record_refusal(Duration::from_millis(100), fixture.now);
    assert_eq!(fixture.share("b"), 1_000);
    fixture.now += Duration::from_millis(101);
    assert!(fixture.share("a") > 200);
}

#[test]
fn eject_and_readmit() {
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "ba"), ready("c", "ba")]);
    fixture.fail("a", 4);
    assert!(fixture.share("a") > 200);
    fixture.fail("a", 1);
    assert_eq!(fixture.share("a"), 0);
    fixture.now += Duration::from_millis(1_001);
    let endpoint = fixture.endpoint("a");
    assert_eq!(
        endpoint.health.get().verdict(fixture.now),
        routing::Verdict::Probe
    );
    let mut health = endpoint.health.get();
    health.start_probe(fixture.now, Duration::from_secs(1));
    endpoint.health.set(health);
    assert_eq!(fixture.share("a"), 0);
    // A failed probe ejects for twice as long.
    fixture.fail("a", 1);
    fixture.now += Duration::from_millis(1_999);
    assert_eq!(fixture.share("a"), 0);
    fixture.now += Duration::from_millis(2);
    let mut health = endpoint.health.get();
    health.succeed();
    endpoint.health.set(health);
    assert!(fixture.share("a") > 200);
}

#[test]
fn eject_at_most_half() {
    let names = ["a", "b", "c", "d"];
    let fixture = Fixture::new(names.iter().map(|name| ready(name, "ba")).collect());
    for name in names {
        fixture.fail(name, 9);
    }
    let group = fixture.group();
    let ejected = group
        .all()
        .filter(|endpoint| endpoint.health.get().is_ejected())
        .count();
    assert_eq!(ejected, 2);
}

#[test]
fn choose_when_all_ejected() {
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "ba")]);
    fixture.policy.eject_share = units::Share::WHOLE;
    fixture.fail("a", 5);
    fixture.fail("b", 5);
    assert!(fixture.share("a") > 0);
}

#[test]
fn slow_start_share() {
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "ba")]);
    fixture.now += Duration::from_secs(20);
    let members = vec![ready("a", "ba"), ready("b", "ba"), ready("c", "ba")];
    fixture
        .directory
        .update(&view(members, 2), &fixture.policy, fixture.now);
    let joined = fixture.endpoint("c");
    let fractions = [(0, 0.1), (5, 0.5), (10, 1.0), (60, 1.0)];
    for (seconds, fraction) in fractions {
        let at = fixture.now + Duration::from_secs(seconds);
        assert!(
            (joined.slow_start_factor(at, &fixture.policy) - fraction).abs() < 1e-9,
            "{seconds}"
        );
    }
}

#[test]
fn update_by_phase() {
    let phases = [Phase::Starting, Phase::Ready, Phase::Draining];
    for phase in phases {
        let members = vec![member("a", "ba", "v1", phase)];
        let fixture = Fixture::new(members);
        let found = fixture.directory.find("menus", "v1").is_some();
        assert_eq!(found, phase == Phase::Ready, "{phase:?}");
    }
}

#[test]
fn update_keeps_unchanged_endpoints() {
    let mut fixture = Fixture::new(vec![ready("a", "ba"), ready("b", "ba")]);
    let before = fixture.endpoint("a");
    let mut restarted = ready("b", "ba");
    restarted
        .backend
        .as_mut()
        .expect("a backend server")
        .instance = 2;
    let members = vec![ready("a", "ba"), restarted];
    let (old, policy, now) = (fixture.endpoint("b"), fixture.policy.clone(), fixture.now);
    fixture.directory.update(&view(members, 2), &policy, now);
    assert!(rc::Rc::ptr_eq(&before, &fixture.endpoint("a")));
    assert!(!rc::Rc::ptr_eq(&old, &fixture.endpoint("b")));
}

/// Applying changes one at a time leads to the same groups as building the directory anew.
#[test]
fn update_incrementally_as_rebuild() {
    let names = ["a", "b", "c", "d", "e"];
    let phases = [Phase::Ready, Phase::Draining, Phase::Starting];
    let mut rng = StdRng::seed_from_u64(11);
    let mut members: Vec<_> = names
        .iter()
        .map(|name| rc::Rc::new(ready(name, "ba")))
        .collect();
    let mut fixture = Fixture::new(vec![ready("a", "ba")]);
    for generation in 2..300 {
        let index = rand::Rng::random_range(&mut rng, 0..names.len());
        let version = if rand::Rng::random(&mut rng) {
            "v1"
        } else {
            "v2"
        };
        let phase = phases[rand::Rng::random_range(&mut rng, 0..phases.len())];
        let data_centre = if generation % 3 == 0 { "ba" } else { "nadi" };
        members[index] = rc::Rc::new(member(names[index], data_centre, version, phase));
        let visible = members
            .iter()
            .filter(|_| rand::Rng::random_ratio(&mut rng, 9, 10));
        let view = rc::Rc::new(View::new(visible.cloned().collect(), generation));
        fixture
            .directory
            .update(&view, &fixture.policy, fixture.now);
        let node = "n0".parse().expect("a node id");
        let mut rebuilt = Directory::new(node, "ba".parse().expect("a data centre"));
        rebuilt.update(&view, &fixture.policy, fixture.now);
        for version in ["v1", "v2"] {
            let nodes = |directory: &Directory| {
                let group = directory.find("menus", version);
                let all = group.iter().flat_map(|group| group.all());
                all.map(|endpoint| (endpoint.node.to_string(), endpoint.local))
                    .collect::<Vec<_>>()
            };
            assert_eq!(
                nodes(&fixture.directory),
                nodes(&rebuilt),
                "{generation} {version}"
            );
        }
    }
}
