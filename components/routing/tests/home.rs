//! Which owner keeps the record of a key, and which may have kept it before.

use std::rc;
use std::time::{Duration, Instant};

use membership::{Backend, Member, Phase, State, View};
use routing::{Directory, Policy};

const WINDOW: Duration = Duration::from_secs(60);

fn member(node: &str, state: State) -> rc::Rc<Member> {
    rc::Rc::new(Member {
        node: node.parse().expect("a node id"),
        data_centre: "ba".parse().expect("a data centre"),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        mesh_address: "127.0.0.1:2".parse().expect("an address"),
        incarnation: 1,
        state,
        backend: Some(Backend {
            service: "menus".into(),
            version: "v1".into(),
            slots: 10,
            connections: 20,
            phase: Phase::Ready,
            instance: 1,
        }),
    })
}

struct Bench {
    directory: Directory,
    generation: u64,
    now: Instant,
    view: rc::Rc<View>,
}

impl Bench {
    fn new() -> Self {
        let node = "n0".parse().expect("a node id");
        Self {
            directory: Directory::new(node, "ba".parse().expect("a data centre")),
            generation: 0,
            now: Instant::now(),
            view: rc::Rc::default(),
        }
    }

    fn update(&mut self, after: u64, members: &[(&str, State)]) {
        self.now += Duration::from_secs(after);
        self.generation += 1;
        let members = members.iter().map(|(node, state)| member(node, *state));
        self.view = rc::Rc::new(View::new(members.collect(), self.generation));
        self.directory
            .update(&self.view, &Policy::default(), self.now);
    }

    /// The owner of `key`, and who is asked for its record: a minus stands before those that are gone.
    fn home(&self, key: u64) -> (String, Vec<String>) {
        let home = self
            .directory
            .home("menus", "v1", key, &self.view, WINDOW, self.now);
        let home = home.expect("an owner");
        let past = home.past.iter().map(|past| {
            let gone = if past.address.is_none() { "-" } else { "" };
            format!("{gone}{}", past.node)
        });
        (home.endpoint.node.to_string(), past.collect())
    }
}

use State::{Alive, Dead};

#[test]
fn home_stays_for_other_keys() {
    let mut bench = Bench::new();
    bench.update(0, &[("a", Alive), ("b", Alive), ("c", Alive)]);
    bench.update(120, &[("a", Alive), ("b", Alive), ("c", Alive)]);
    let before: Vec<_> = (0..200).map(|key| bench.home(key)).collect();
    assert!(before.iter().all(|(_, past)| past.is_empty()));
    bench.update(1, &[("a", Alive), ("b", Alive), ("c", Dead)]);
    for (key, (owner, _)) in before.iter().enumerate() {
        let (now, past) = bench.home(key as u64);
        if owner == "c" {
            assert_eq!(past, ["-c"], "key {key}");
        } else {
            assert_eq!((&now, past.len()), (owner, 0), "key {key}");
        }
    }
    bench.update(61, &[("a", Alive), ("b", Alive), ("c", Dead)]);
    assert!((0..200).all(|key| bench.home(key).1.is_empty()));
}

#[test]
fn home_of_joined_owner_asks_earlier_one() {
    let mut bench = Bench::new();
    bench.update(0, &[("a", Alive), ("b", Alive)]);
    bench.update(120, &[("a", Alive), ("b", Alive)]);
    let before: Vec<_> = (0..200).map(|key| bench.home(key).0).collect();
    bench.update(1, &[("a", Alive), ("b", Alive), ("c", Alive)]);
    let mut moved = 0;
    for (key, owner) in before.iter().enumerate() {
        let (now, past) = bench.home(key as u64);
        if now == "c" {
            moved += 1;
            assert_eq!(past, [owner.as_str()], "key {key}");
        } else {
            assert_eq!((&now, past.len()), (owner, 0), "key {key}");
        }
    }
    assert!(moved > 20);
    bench.update(61, &[("a", Alive), ("b", Alive), ("c", Alive)]);
    assert!((0..200).all(|key| bench.home(key).1.is_empty()));
}

#[test]
fn home_that_left_and_came_back() {
    let mut bench = Bench::new();
    bench.update(0, &[("a", Alive), ("b", Alive)]);
    let first = bench.now;
    bench.update(30, &[("a", Dead), ("b", Alive)]);
    bench.update(5, &[("a", Alive), ("b", Alive)]);
    let key = (0..200)
        .find(|key| bench.home(*key).0 == "a")
        .expect("a key of a");
    let home = bench
        .directory
        .home("menus", "v1", key, &bench.view, WINDOW, bench.now);
    let home = home.expect("an owner");
    // Its records have to go back to its first time, which they do not after a restart.
    assert_eq!(home.joined, first);
    let past: Vec<_> = home.past.iter().map(|past| past.node.as_str()).collect();
    assert_eq!(past, ["b"]);
}

#[test]
fn home_with_dead_member_from_before() {
    let mut bench = Bench::new();
    bench.update(0, &[("a", Alive), ("b", Alive), ("c", Dead)]);
    let gone = (0..200).filter(|key| bench.home(*key).1.contains(&"-c".to_owned()));
    assert!(gone.count() > 20);
}
