//! Tests of feeds and of the distribution tree.

use platform::{Event, Listing, Object, Revision};
use relay::{Change, Delta, Feed, Outcome, split};

fn object(name: &str, revision: u64, value: &[u8]) -> Object {
    Object {
        key: format!("config/{name}").parse().expect("valid key"),
        revision: Revision(revision),
        value: value.to_vec(),
    }
}

/// A value as large as a configuration with many routes, one of which depends on `part`.
fn routes(part: u32) -> Vec<u8> {
    let lines = (0..4_000).map(|route| {
        let service = if route == 1_700 { part } else { 0 };
        format!(
            r#"{{"name":"r{route}","service":"s{service}","hash":{}}}"#,
            route * 7_919
        )
    });
    lines.collect::<String>().into_bytes()
}

fn revisions(feed: &Feed) -> Vec<u64> {
    let objects = feed.objects_after(Revision::default()).into_iter();
    objects.map(|object| object.revision.0).collect()
}

/// A feed that has read these revisions of `main`.
fn feed(read: &[u64]) -> Feed {
    let mut feed = Feed::new("config/", |_| None);
    for revision in read {
        let value = routes(u32::try_from(*revision).expect("small number"));
        feed.merge(vec![object("main", *revision, &value)]);
    }
    feed
}

fn bytes(changes: &[Change]) -> usize {
    let deltas = changes.iter().flat_map(|change| &change.deltas);
    deltas.map(|delta| delta.compressed.len()).sum()
}

/// Name, revisions of the receiver, revisions and lower bound of the sender, expected outcome, and the
/// newest revision of the receiver afterwards.
type Case = (
    &'static str,
    &'static [u64],
    &'static [u64],
    Option<u64>,
    Outcome,
    u64,
);

fn cases() -> [Case; 8] {
    [
        ("next change", &[5], &[5, 7], Some(5), Outcome::Applied, 7),
        (
            "several changes",
            &[5],
            &[5, 7, 9],
            Some(5),
            Outcome::Applied,
            9,
        ),
        (
            "full feed to an empty receiver",
            &[],
            &[5, 7],
            None,
            Outcome::Applied,
            7,
        ),
        (
            "earlier changes are missing",
            &[5],
            &[5, 6, 7],
            Some(6),
            Outcome::Gap,
            5,
        ),
        (
            "single change to an empty receiver",
            &[],
            &[5, 7],
            Some(5),
            Outcome::Gap,
            0,
        ),
        (
            "delta with a base that the receiver lacks",
            &[5, 6],
            &[5, 7],
            Some(6),
            Outcome::MissingBase,
            6,
        ),
        ("outdated feed", &[5, 7], &[5], None, Outcome::Applied, 7),
        ("no change", &[5, 7], &[5, 7], Some(7), Outcome::Applied, 7),
    ]
}

#[test]
fn apply_cases() {
    for (name, held, sent, after, outcome, newest) in cases() {
        let sender = feed(sent);
        let mut receiver = feed(held);
        let after = after.map(Revision);
        let changes = sender.changes(after);
        let head = sender.head().expect("sender has a head");
        assert_eq!(receiver.apply(after, head, &changes), outcome, "{name}");
        assert_eq!(
            revisions(&receiver).last().copied().unwrap_or(0),
            newest,
            "{name}"
        );
        let value = receiver
            .objects_after(Revision::default())
            .pop()
            .map(|object| object.value);
        let wanted = (newest > 0).then(|| routes(u32::try_from(newest).expect("small number")));
        assert!(value == wanted, "{name}: value differs");
    }
}

#[test]
fn changes_are_smaller_than_the_full_feed() {
    let feed = feed(&[5, 7]);
    let full = bytes(&feed.changes(None));
    let change = bytes(&feed.changes(Some(Revision(5))));
    assert!(change * 20 < full, "{change} of {full} bytes");
}

#[test]
fn forwarded_changes_stay_small() {
    let sender = feed(&[5, 7]);
    let mut middle = feed(&[5]);
    let changes = sender.changes(Some(Revision(5)));
    middle.apply(Some(Revision(5)), Revision(7), &changes);
    assert_eq!(middle.changes(Some(Revision(5))), changes);
}

#[test]
fn kept_deltas_reserve_no_more_than_their_bytes() {
    let delta = Delta::new(Some((Revision(1), &routes(1))), Revision(2), &routes(2));
    let compressed = delta.expect("it compresses").compressed;
    assert!(compressed.len() < routes(2).len(), "the value compresses");
    assert!(
        compressed.capacity() <= 2 * compressed.len(),
        "{} bytes reserved for {}",
        compressed.capacity(),
        compressed.len()
    );
}

#[test]
fn changes_older_than_the_kept_deltas_are_full() {
    let read: Vec<_> = (1..100).collect();
    let feed = feed(&read);
    let changes = feed.changes(Some(Revision(3)));
    assert_eq!(changes[0].deltas.len(), 1);
    assert_eq!(changes[0].deltas[0].base, None);
}

#[test]
fn apply_of_malformed_bytes() {
    let mut feed = feed(&[5]);
    let delta = Delta {
        base: Some(Revision(5)),
        revision: Revision(7),
        size: 100,
        compressed: vec![0xff; 40],
    };
    let change = Change {
        key: "config/main".parse().expect("valid key"),
        deltas: vec![delta],
        removed: None,
    };
    assert_eq!(
        feed.apply(Some(Revision(5)), Revision(7), &[change]),
        Outcome::MissingBase
    );
    assert_eq!(revisions(&feed), [5]);
}

#[test]
fn merge_of_an_empty_prefix_sets_the_head() {
    let mut feed = Feed::new("rollouts/", |_| None);
    assert_eq!(feed.head(), None);
    feed.merge(Vec::new());
    assert_eq!(feed.head(), Some(Revision(0)));
}

#[test]
fn split_reaches_each_target_once() {
    for count in [0, 1, 3, 4, 5, 33, 1_067] {
        let targets: Vec<_> = (0..count).collect();
        let parts = split(&targets, 4);
        assert!(parts.len() <= 4, "{count}");
        assert_eq!(parts.concat(), targets, "{count}");
    }
}

/// An object of an era whose value is a version.
fn versioned(era: u16, counter: u64, version: u8) -> Object {
    let revision = Revision(counter).in_era(platform::Era(era));
    Object {
        revision: revision.expect("it fits"),
        ..object("main", 0, &[version])
    }
}

/// A feed of values that are versions, which has read `objects`.
fn versioned_feed(objects: &[Object]) -> Feed {
    let mut feed = Feed::new("config/", |value| value.first().copied().map(u64::from));
    for object in objects {
        feed.merge(vec![object.clone()]);
    }
    feed
}

fn version(feed: &Feed) -> u8 {
    feed.objects()[0].value[0]
}

#[test]
fn store_in_a_new_era_replaces_no_newer_version() {
    let cases = [
        ("an older version", versioned(1, 3, 9), 11),
        ("the same version, written again", versioned(1, 5, 11), 11),
        ("a newer version", versioned(1, 6, 12), 12),
    ];
    for (name, shown, expected) in cases {
        let kept = versioned(0, 8, 11);
        let mut sender = versioned_feed(&[kept.clone(), shown.clone()]);
        assert_eq!(version(&sender), expected, "{name}");
        assert_eq!(
            sender.head(),
            Some(shown.revision),
            "{name}: the head follows the store"
        );
        let mut starting = versioned_feed(&[]);
        let head = sender.head().expect("it is read");
        let outcome = starting.apply(None, head, &sender.changes(None));
        assert_eq!(outcome, Outcome::Applied, "{name}");
        starting.merge(vec![shown.clone()]);
        assert_eq!(version(&starting), expected, "{name}: a node that starts");
        let mut behind = versioned_feed(&[versioned(0, 7, 10), shown]);
        behind.apply(None, head, &sender.changes(None));
        assert_eq!(version(&behind), expected, "{name}: a node that was behind");
        sender.merge(vec![versioned(1, 9, 13)]);
        assert_eq!(version(&sender), 13, "{name}: a later version");
    }
}

/// A feed of data centres that follows removed objects.
fn marks() -> Feed {
    Feed::new("marks/", |_| None).with_removals()
}

fn mark(name: &str, revision: u64) -> Object {
    Object {
        key: format!("marks/{name}").parse().expect("valid key"),
        revision: Revision(revision),
        value: b"{}".to_vec(),
    }
}

fn listing(revision: u64, objects: Vec<Object>) -> Listing {
    let revision = Revision(revision);
    Listing { revision, objects }
}

fn removed(name: &str, revision: u64) -> Event {
    let key = format!("marks/{name}").parse().expect("valid key");
    Event::Removed(key, Revision(revision))
}

fn names(feed: &Feed) -> Vec<String> {
    let objects = feed.objects().into_iter();
    objects.map(|object| object.key.to_string()).collect()
}

/// Sends what `sender` has after the head of `receiver`, as a pull does.
fn send(sender: &Feed, receiver: &mut Feed) -> Outcome {
    let after = sender.lower_bound(receiver.head());
    let head = sender.head().expect("read");
    receiver.apply(after, head, &sender.changes(after))
}

#[test]
fn merge_events_removed_object_is_gone() {
    let mut feed = marks();
    feed.merge_listing(listing(10, vec![mark("a", 5), mark("b", 6)]));
    feed.merge_events(vec![removed("a", 12), Event::Put(mark("c", 13))]);
    assert_eq!(names(&feed), ["marks/b", "marks/c"]);
    assert_eq!(feed.head(), Some(Revision(13)));
    let events = feed.events_after(Revision(10));
    assert_eq!(events, [removed("a", 12), Event::Put(mark("c", 13))]);
}

#[test]
fn merge_events_removed_and_created_again() {
    let mut feed = marks();
    feed.merge_listing(listing(10, vec![mark("a", 5)]));
    feed.merge_events(vec![removed("a", 12), Event::Put(mark("a", 14))]);
    assert_eq!(names(&feed), ["marks/a"]);
    feed.merge_events(vec![removed("a", 12)]);
    assert_eq!(names(&feed), ["marks/a"], "the removal is older");
}

#[test]
fn merge_listing_lacks_removed_object() {
    let mut feed = marks();
    feed.merge_listing(listing(10, vec![mark("a", 5)]));
    feed.merge_listing(listing(20, Vec::new()));
    assert!(names(&feed).is_empty());
    assert_eq!(feed.head(), Some(Revision(20)));
    assert_eq!(feed.events_after(Revision(10)), [removed("a", 20)]);
}

#[test]
fn merge_listing_older_than_head_brings_nothing_back() {
    let mut feed = marks();
    feed.merge_listing(listing(20, Vec::new()));
    feed.merge_listing(listing(10, vec![mark("a", 5)]));
    assert!(names(&feed).is_empty());
    feed.merge_events(vec![Event::Put(mark("b", 25))]);
    feed.merge_listing(listing(22, Vec::new()));
    assert_eq!(names(&feed), ["marks/b"], "newer than the listing");
}

#[test]
fn apply_removed_object_by_push_and_pull() {
    let mut sender = marks();
    sender.merge_listing(listing(10, vec![mark("a", 5)]));
    let mut receiver = marks();
    assert_eq!(send(&sender, &mut receiver), Outcome::Applied);
    assert_eq!(names(&receiver), ["marks/a"]);
    sender.merge_events(vec![removed("a", 12)]);
    assert_eq!(send(&sender, &mut receiver), Outcome::Applied);
    assert!(names(&receiver).is_empty());
    assert_eq!(receiver.head(), Some(Revision(12)));
    sender.merge_events(vec![Event::Put(mark("a", 15))]);
    assert_eq!(send(&sender, &mut receiver), Outcome::Applied);
    assert_eq!(names(&receiver), ["marks/a"]);
}

/// Guards against a removal that is lost because the node that was cut off meets only nodes that started
/// after it.
#[test]
fn apply_full_state_of_node_started_after_removal() {
    let mut cut_off = marks();
    cut_off.merge_listing(listing(10, vec![mark("a", 5)]));
    let mut started = marks();
    started.merge_listing(listing(30, Vec::new()));
    assert_eq!(started.lower_bound(cut_off.head()), None);
    assert_eq!(send(&started, &mut cut_off), Outcome::Applied);
    assert!(names(&cut_off).is_empty());
}

/// Guards against a node that was cut off and brings a removed object back to the others.
#[test]
fn apply_stale_object_of_node_cut_off() {
    let mut cut_off = marks();
    cut_off.merge_listing(listing(10, vec![mark("a", 5)]));
    let mut started = marks();
    started.merge_listing(listing(30, Vec::new()));
    let head = cut_off.head().expect("read");
    started.apply(None, head, &cut_off.changes(None));
    assert!(names(&started).is_empty());
    assert_eq!(started.head(), Some(Revision(30)));
}

#[test]
fn apply_of_tombstones_with_other_revisions() {
    let mut watched = marks();
    watched.merge_listing(listing(10, vec![mark("a", 5)]));
    let mut listed = marks();
    assert_eq!(send(&watched, &mut listed), Outcome::Applied);
    watched.merge_events(vec![removed("a", 12)]);
    listed.merge_listing(listing(20, Vec::new()));
    assert_eq!(send(&listed, &mut watched), Outcome::Applied);
    listed.merge_events(vec![Event::Put(mark("a", 25))]);
    assert_eq!(send(&listed, &mut watched), Outcome::Applied);
    assert_eq!(names(&watched), ["marks/a"]);
}

#[test]
fn merge_events_many_removals_are_bounded() {
    let mut sender = marks();
    sender.merge_listing(listing(1, Vec::new()));
    let mut behind = marks();
    behind.merge_listing(listing(1, Vec::new()));
    behind.merge_events(vec![Event::Put(mark("n0", 2))]);
    for number in 0..1_000_u64 {
        let name = format!("n{number}");
        sender.merge_events(vec![Event::Put(mark(&name, 2 + 2 * number))]);
        sender.merge_events(vec![removed(&name, 3 + 2 * number)]);
    }
    assert!(sender.changes(None).len() < 100);
    assert_eq!(send(&sender, &mut behind), Outcome::Applied);
    assert!(names(&behind).is_empty());
}

#[test]
fn merge_events_without_removals_keeps_removed_object() {
    let mut feed = feed(&[5]);
    let key = "config/main".parse().expect("valid key");
    feed.merge_events(vec![Event::Removed(key, Revision(9))]);
    assert_eq!(revisions(&feed), [5]);
    assert_eq!(feed.head(), Some(Revision(5)));
}
