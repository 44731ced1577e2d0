//! Tests of the owner of a key and of its previous owners.

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

struct Fixture {
    directory: Directory,
    generation: u64,
    now: Instant,
    view: rc::Rc<View>,
}

impl Fixture {
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

    /// Returns the owner of `key` and its previous owners; those that are gone are prefixed with a minus.
    fn key_owners(&self, key: u64) -> (String, Vec<String>) {
        let owners = self
            .directory
            .key_owners("menus", "v1", key, &self.view, WINDOW, self.now);
        let owners = owners.expect("an owner");
        let previous = owners.previous.iter().map(|owner| {
            let prefix = if owner.address.is_none() { "-" } else { "" };
            format!("{prefix}{}", owner.node)
        });
        (owners.owner.node.to_string(), previous.collect())
    }
}

use State::{Alive, Dead};

#[test]
fn owner_of_other_keys_stays() {
    let mut fixture = Fixture::new();
    fixture.update(0, &[("a", Alive), ("b", Alive), ("c", Alive)]);
    fixture.update(120, &[("a", Alive), ("b", Alive), ("c", Alive)]);
    let before: Vec<_> = (0..200).map(|key| fixture.key_owners(key)).collect();
    assert!(before.iter().all(|(_, previous)| previous.is_empty()));
    fixture.update(1, &[("a", Alive), ("b", Alive), ("c", Dead)]);
    for (key, (owner, _)) in before.iter().enumerate() {
        let (current, previous) = fixture.key_owners(key as u64);
        if owner == "c" {
            assert_eq!(previous, ["-c"], "key {key}");
        } else {
            assert_eq!((&current, previous.len()), (owner, 0), "key {key}");
        }
    }
    fixture.update(61, &[("a", Alive), ("b", Alive), ("c", Dead)]);
    assert!((0..200).all(|key| fixture.key_owners(key).1.is_empty()));
}

#[test]
fn joined_owner_has_previous_owner() {
    let mut fixture = Fixture::new();
    fixture.update(0, &[("a", Alive), ("b", Alive)]);
    fixture.update(120, &[("a", Alive), ("b", Alive)]);
    let before: Vec<_> = (0..200).map(|key| fixture.key_owners(key).0).collect();
    fixture.update(1, &[("a", Alive), ("b", Alive), ("c", Alive)]);
    let mut moved = 0;
    for (key, owner) in before.iter().enumerate() {
        let (current, previous) = fixture.key_owners(key as u64);
        if current == "c" {
            moved += 1;
            assert_eq!(previous, [owner.as_str()], "key {key}");
        } else {
            assert_eq!((&current, previous.len()), (owner, 0), "key {key}");
        }
    }
    assert!(moved > 20);
    fixture.update(61, &[("a", Alive), ("b", Alive), ("c", Alive)]);
    assert!((0..200).all(|key| fixture.key_owners(key).1.is_empty()));
}

#[test]
fn owner_that_left_and_came_back() {
    let mut fixture = Fixture::new();
    fixture.update(0, &[("a", Alive), ("b", Alive)]);
    let first = fixture.now;
    fixture.update(30, &[("a", Dead), ("b", Alive)]);
    fixture.update(5, &[("a", Alive), ("b", Alive)]);
    let key = (0..200)
        .find(|key| fixture.key_owners(*key).0 == "a")
        .expect("a key of a");
    let owners =
        fixture
            .directory
            .key_owners("menus", "v1", key, &fixture.view, WINDOW, fixture.now);
    let owners = owners.expect("an owner");
    // The owner's records have to cover the time since it first joined; after a restart they do not.
    assert_eq!(owners.joined, first);
    let previous: Vec<_> = owners
        .previous
        .iter()
        .map(|owner| owner.node.as_str())
        .collect();
    assert_eq!(previous, ["b"]);
}

#[test]
fn dead_member_of_first_view_is_previous_owner() {
    let mut fixture = Fixture::new();
    fixture.update(0, &[("a", Alive), ("b", Alive), ("c", Dead)]);
    let gone = (0..200).filter(|key| fixture.key_owners(*key).1.contains(&"-c".to_owned()));
    assert!(gone.count() > 20);
}
