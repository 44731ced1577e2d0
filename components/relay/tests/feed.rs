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
    let mut feed = Feed::new("config/");
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
    let mut feed = Feed::new("rollouts/");
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
