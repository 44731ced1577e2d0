//! Tests of applying updates to the table, and properties of merging.

use std::cmp;
use std::rc;
use std::time;

use membership::{
    Backend, Digest, Member, Outcome, Phase, Propagation, Ranks, Rumors, State, Table, Update,
};
use proptest::prelude::*;

const RETENTION: time::Duration = time::Duration::from_secs(60);

fn member(node: &str, incarnation: u64, state: State) -> Member {
    Member {
        node: node.parse().expect("an id"),
        data_centre: "centre".parse().expect("an id"),
        peer_address: "10.0.0.1:7402".parse().expect("an address"),
        mesh_address: "10.0.0.1:7401".parse().expect("an address"),
        incarnation,
        state,
        backend: None,
    }
}

fn update(node: &str, incarnation: u64, state: State) -> Update {
    Update::of(rc::Rc::new(member(node, incarnation, state)))
}

fn accusation(node: &str, incarnation: u64, accuser: &str) -> Update {
    Update {
        accuser: accuser.parse().ok(),
        ..update(node, incarnation, State::Suspect)
    }
}

fn table() -> Table {
    Table::new(member("own", 1, State::Alive), 100, time::Instant::now())
}

/// Parses an update about member `a`, such as `2 alive` or `2 suspect by b`.
fn parse(text: &str) -> Update {
    let words: Vec<_> = text.split(' ').collect();
    let incarnation = words[0].parse().expect("an incarnation");
    match words[1..] {
        ["alive"] => update("a", incarnation, State::Alive),
        ["suspect"] => update("a", incarnation, State::Suspect),
        ["suspect", "by", accuser] => accusation("a", incarnation, accuser),
        ["dead"] => update("a", incarnation, State::Dead),
        ["left"] => update("a", incarnation, State::Left),
        _ => panic!("malformed update `{text}`"),
    }
}

#[test]
fn apply_cases() {
    use Outcome::{Applied, Duplicate, Ignored, Stale};
    use State::{Alive, Dead, Suspect};
    let cases = [
        // Case, updates before, update, outcome, state afterwards.
        ("new", "", "2 alive", Applied, Some(Alive)),
        ("twice", "2 alive", "2 alive", Duplicate, Some(Alive)),
        ("crossed", "3 suspect", "2 alive", Stale, Some(Suspect)),
        ("suspicion", "2 alive", "2 suspect", Applied, Some(Suspect)),
        ("refutation", "2 suspect", "3 alive", Applied, Some(Alive)),
        ("too late", "2 alive, 2 dead", "2 alive", Stale, Some(Dead)),
        (
            "restart",
            "2 alive, 2 left",
            "3 alive",
            Applied,
            Some(Alive),
        ),
        ("unknown dies", "", "2 dead", Ignored, None),
        ("unknown leaves", "", "2 left", Ignored, None),
        (
            "another",
            "2 suspect by b",
            "2 suspect by c",
            Applied,
            Some(Suspect),
        ),
        (
            "again",
            "2 suspect by b",
            "2 suspect by b",
            Duplicate,
            Some(Suspect),
        ),
    ];
    for (case, before, text, outcome, state) in cases {
        let now = time::Instant::now();
        let mut table = table();
        for earlier in before.split(", ").filter(|text| !text.is_empty()) {
            table.apply(parse(earlier), now);
        }
        assert_eq!(table.apply(parse(text), now), outcome, "{case}");
        let record = table.record(&"a".parse().expect("an id"));
        assert_eq!(record.map(|record| record.member.state), state, "{case}");
    }
}

#[test]
fn apply_update_about_own_node() {
    let cases = [
        (update("own", 1, State::Alive), Outcome::Duplicate, 1),
        (update("own", 1, State::Suspect), Outcome::Refuted, 2),
        (update("own", 7, State::Dead), Outcome::Refuted, 8),
        (update("own", 5, State::Alive), Outcome::Refuted, 6),
        (update("own", 0, State::Dead), Outcome::Stale, 1),
    ];
    for (update, outcome, incarnation) in cases {
        let mut table = table();
        assert_eq!(
            table.apply(update.clone(), time::Instant::now()),
            outcome,
            "{update:?}"
        );
        let own = table.own();
        assert_eq!(
            (own.incarnation, own.state),
            (incarnation, State::Alive),
            "{update:?}"
        );
    }
}

#[test]
fn learn_in_bulk_is_not_gossiped() {
    let now = time::Instant::now();
    let mut table = table();
    let node = "a".parse().expect("an id");
    table.learn(update("a", 1, State::Alive), Propagation::Bulk, now);
    assert!(!table.rumors().contains(&node));
    table.learn(update("a", 2, State::Alive), Propagation::Gossip, now);
    assert!(table.rumors().contains(&node));
}

#[test]
fn learn_beyond_limit() {
    let now = time::Instant::now();
    let mut table = Table::new(member("own", 1, State::Alive), 3, now);
    for node in ["a", "b", "c", "d"] {
        table.apply(update(node, 1, State::Alive), now);
    }
    assert_eq!((table.records().len(), table.ignored()), (3, 2));
}

#[test]
fn purge_by_age() {
    let start = time::Instant::now();
    let mut table = table();
    for (node, state) in [("a", State::Alive), ("b", State::Dead), ("c", State::Left)] {
        table.apply(update(node, 1, State::Alive), start);
        table.apply(update(node, 1, state), start);
    }
    table.purge(RETENTION, start + RETENTION / 2);
    assert_eq!(table.records().len(), 4);
    table.purge(RETENTION, start + RETENTION);
    let left: Vec<_> = table
        .records()
        .iter()
        .map(|one| one.member.node.to_string())
        .collect();
    assert_eq!(left, ["a", "own"]);
}

#[test]
fn forget_keeps_own_record() {
    let now = time::Instant::now();
    let mut table = table();
    table.apply(update("a", 1, State::Suspect), now);
    table.forget();
    assert_eq!((table.records().len(), table.suspects().len()), (1, 0));
    let fresh = self::table();
    assert_eq!(table.digest().summary(), fresh.digest().summary());
}

#[test]
fn view_shows_doubted_and_held_as_suspect() {
    let now = time::Instant::now();
    let node = "a".parse().expect("an id");
    let mut table = table();
    table.apply(update("a", 1, State::Alive), now);
    let shown = |table: &Table| table.view().member(&node).map(|member| member.state);
    table.set_doubted(&node, true);
    assert_eq!(shown(&table), Some(State::Suspect));
    table.set_doubted(&node, false);
    assert_eq!(shown(&table), Some(State::Alive));
    table.apply(update("a", 1, State::Dead), now);
    assert_eq!(shown(&table), Some(State::Dead));
    table.set_held(&node, true);
    assert_eq!(shown(&table), Some(State::Suspect));
    table.apply(update("a", 2, State::Alive), now);
    table.apply(update("a", 2, State::Dead), now);
    assert_eq!(
        shown(&table),
        Some(State::Dead),
        "`held` is cleared once the member is alive again"
    );
}

#[test]
fn rumors_are_bounded() {
    let mut rumors = Rumors::default();
    for node in ["a", "b", "c"] {
        rumors.add(update(node, 1, State::Alive));
    }
    let single = rumors.take(60, 2).len();
    assert_eq!(single, 1, "only one update fits into the limit");
    let mut sent = single;
    for _ in 0..10 {
        sent += rumors.take(4096, 2).len();
    }
    assert_eq!((sent, rumors.len()), (6, 0), "each update is sent twice");
}

#[test]
fn rumors_forward_once() {
    let mut rumors = Rumors::default();
    rumors.add(update("a", 1, State::Alive));
    assert_eq!(rumors.take_unforwarded(|_| false).len(), 0);
    assert_eq!(rumors.take_unforwarded(|_| true).len(), 1);
    assert_eq!(rumors.take_unforwarded(|_| true).len(), 0);
    rumors.add(update("a", 2, State::Alive));
    assert_eq!(
        rumors.take_unforwarded(|_| true).len(),
        1,
        "a newer update is forwarded again"
    );
}

#[test]
fn transmissions_grow_logarithmically() {
    let counts = [1, 25, 200, 1_000, 16_000].map(Rumors::transmissions);
    assert_eq!(counts, [6, 10, 12, 13, 16]);
}

#[test]
fn ranks_agree_on_the_first() {
    let members: Vec<_> = (0..50)
        .map(|number| rc::Rc::new(member(&format!("node-{number}"), 1, State::Alive)))
        .collect();
    let centre = "centre".parse().expect("an id");
    let whole = Ranks::new(members.iter());
    let first: Vec<_> = whole.first(&centre, 3).cloned().collect();
    let reversed = Ranks::new(members.iter().rev());
    assert!(first.iter().eq(reversed.first(&centre, 3)));
    let without = Ranks::new(members.iter().filter(|member| **member != first[0]));
    assert!(
        without.first(&centre, 2).eq(&first[1..]),
        "the others keep their order"
    );
    assert_eq!(whole.first(&centre, 100).count(), Ranks::MEMBERS_PER_CENTRE);
}

fn any_state() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Dead),
        Just(State::Left)
    ]
}

fn any_backend() -> impl Strategy<Value = Option<Backend>> {
    proptest::option::of((0..3_u32, 0..2_u64).prop_map(|(slots, instance)| Backend {
        service: "bookdesk".into(),
        version: "v1".into(),
        slots,
        connections: 1,
        phase: Phase::Ready,
        instance,
    }))
}

fn any_member() -> impl Strategy<Value = Member> {
    let node = prop_oneof![Just("a"), Just("b"), Just("c")];
    (node, 0..4_u64, any_state(), any_backend()).prop_map(|(node, incarnation, state, backend)| {
        Member {
            backend,
            ..member(node, incarnation, state)
        }
    })
}

fn merge(one: &Member, other: &Member) -> Member {
    match one.compare(other) {
        cmp::Ordering::Less => other.clone(),
        _ => one.clone(),
    }
}

/// Returns the parts of a table that are equal in all tables with the same knowledge.
fn content(table: &Table) -> Vec<Member> {
    table
        .records()
        .iter()
        .map(|record| Member::clone(&record.member))
        .collect()
}

proptest! {
    #[test]
    fn merge_properties(mut members in proptest::collection::vec(any_member(), 3)) {
        for member in &mut members {
            member.node = "a".parse().expect("an id");
        }
        let [a, b, c] = [&members[0], &members[1], &members[2]];
        prop_assert_eq!(merge(a, b), merge(b, a));
        prop_assert_eq!(merge(a, a), a.clone());
        prop_assert_eq!(merge(&merge(a, b), c), merge(a, &merge(b, c)));
    }

    /// Reordered and repeated updates result in the same records if each member was known as running
    /// before.
    #[test]
    fn apply_order_is_irrelevant(
        updates in proptest::collection::vec(any_member(), 0..12),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let now = time::Instant::now();
        let (mut one, mut other) = (table(), table());
        for table in [&mut one, &mut other] {
            for node in ["a", "b", "c"] {
                table.apply(update(node, 0, State::Alive), now);
            }
        }
        for member in &updates {
            one.apply(Update::of(rc::Rc::new(member.clone())), now);
        }
        for index in order.iter().filter(|_| !updates.is_empty()) {
            other.apply(Update::of(rc::Rc::new(index.get(&updates).clone())), now);
        }
        for member in updates.iter().rev() {
            other.apply(Update::of(rc::Rc::new(member.clone())), now);
        }
        prop_assert_eq!(content(&one), content(&other));
        prop_assert_eq!(one.digest().summary(), other.digest().summary());
    }

    /// The incrementally updated digest equals one computed from scratch.
    #[test]
    fn digest_is_exact(updates in proptest::collection::vec(any_member(), 0..20)) {
        let now = time::Instant::now();
        let mut table = table();
        for member in updates {
            table.apply(Update::of(rc::Rc::new(member)), now);
        }
        let mut fresh = Digest::default();
        for record in table.records() {
            fresh.add(&record.member);
        }
        prop_assert_eq!(table.digest().summary(), fresh.summary());
        prop_assert!(fresh.differing(&table.digest().summary()).is_empty());
    }

    #[test]
    fn update_survives_encoding(member in any_member(), accused in any::<bool>()) {
        let suspect = accused && member.state == State::Suspect;
        let update = Update {
            member: rc::Rc::new(member),
            accuser: "b".parse().ok().filter(|_| suspect),
        };
        prop_assert_eq!(Update::decode(&update.encode()), Some(update));
    }
}
