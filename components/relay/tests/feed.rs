//! What a node knows of one prefix.

use platform::{Object, Revision};
use relay::{Change, Feed, Step, Taken, split};

fn object(name: &str, revision: u64, value: &[u8]) -> Object {
    Object {
        key: format!("config/{name}").parse().expect("it is a key"),
        revision: Revision(revision),
        value: value.to_vec(),
    }
}

/// A value as large as a configuration with many routes; `part` makes it differ in one of them.
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
    let objects = feed.since(Revision::default()).into_iter();
    objects.map(|object| object.revision.0).collect()
}

/// A feed that has seen these revisions of `main`.
fn feed(seen: &[u64]) -> Feed {
    let mut feed = Feed::new("config/");
    for revision in seen {
        let value = routes(u32::try_from(*revision).expect("a small number"));
        feed.read(vec![object("main", *revision, &value)]);
    }
    feed
}

fn bytes(changes: &[Change]) -> usize {
    let steps = changes.iter().flat_map(|change| &change.steps);
    steps.map(|step| step.packed.len()).sum()
}

/// What is held, what is sent and after which revision, what comes of it, and what is held then.
type Case = (
    &'static str,
    &'static [u64],
    &'static [u64],
    Option<u64>,
    Taken,
    u64,
);

fn cases() -> [Case; 8] {
    [
        ("the next change", &[5], &[5, 7], Some(5), Taken::Known, 7),
        (
            "several changes",
            &[5],
            &[5, 7, 9],
            Some(5),
            Taken::Known,
            9,
        ),
        (
            "the whole to one that knows nothing",
            &[],
            &[5, 7],
            None,
            Taken::Known,
            7,
        ),
        (
            "changes before it are missing",
            &[5],
            &[5, 6, 7],
            Some(6),
            Taken::Gap,
            5,
        ),
        (
            "a change to one that knows nothing",
            &[],
            &[5, 7],
            Some(5),
            Taken::Gap,
            0,
        ),
        (
            "a change that the other made of two",
            &[5, 6],
            &[5, 7],
            Some(6),
            Taken::Base,
            6,
        ),
        ("an old state", &[5, 7], &[5], None, Taken::Known, 7),
        ("nothing new", &[5, 7], &[5, 7], Some(7), Taken::Known, 7),
    ]
}

#[test]
fn take_cases() {
    for (name, held, sent, after, taken, newest) in cases() {
        let sender = feed(sent);
        let mut receiver = feed(held);
        let after = after.map(Revision);
        let changes = sender.changes(after);
        let head = sender.head().expect("it has read");
        assert_eq!(receiver.take(after, head, &changes), taken, "{name}");
        assert_eq!(
            revisions(&receiver).last().copied().unwrap_or(0),
            newest,
            "{name}"
        );
        let value = receiver
            .since(Revision::default())
            .pop()
            .map(|object| object.value);
        let wanted = (newest > 0).then(|| routes(u32::try_from(newest).expect("small")));
        assert!(value == wanted, "{name}: the value is whole");
    }
}

#[test]
fn changes_are_small_beside_the_whole() {
    let feed = feed(&[5, 7]);
    let whole = bytes(&feed.changes(None));
    let change = bytes(&feed.changes(Some(Revision(5))));
    assert!(change * 20 < whole, "{change} of {whole} bytes");
}

#[test]
fn changes_passed_on_stay_small() {
    let sender = feed(&[5, 7]);
    let mut middle = feed(&[5]);
    let changes = sender.changes(Some(Revision(5)));
    middle.take(Some(Revision(5)), Revision(7), &changes);
    assert_eq!(middle.changes(Some(Revision(5))), changes);
}

#[test]
fn changes_beyond_what_is_kept_are_whole() {
    let seen: Vec<_> = (1..100).collect();
    let feed = feed(&seen);
    let changes = feed.changes(Some(Revision(3)));
    assert_eq!(changes[0].steps.len(), 1);
    assert_eq!(changes[0].steps[0].base, None);
}

#[test]
fn take_of_arbitrary_bytes() {
    let mut feed = feed(&[5]);
    let step = Step {
        base: Some(Revision(5)),
        revision: Revision(7),
        size: 100,
        packed: vec![0xff; 40],
    };
    let change = Change {
        key: "config/main".parse().expect("it is a key"),
        steps: vec![step],
    };
    assert_eq!(
        feed.take(Some(Revision(5)), Revision(7), &[change]),
        Taken::Base
    );
    assert_eq!(revisions(&feed), [5]);
}

#[test]
fn take_of_an_empty_prefix_is_known() {
    let mut feed = Feed::new("rollouts/");
    assert_eq!(feed.head(), None);
    feed.read(Vec::new());
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
