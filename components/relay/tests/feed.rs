//! Tests of feeds and of the distribution tree.

use platform::{Object, Revision};
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
