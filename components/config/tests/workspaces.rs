//! Workspaces and their keys in changes and snapshots.

use config::{Applied, Change, Put, Refusal, Remove, Snapshot, Workspace, key};

const KEY: &str = "7u27gxprymh2rrytapjs";
const OTHER_KEY: &str = "ujqurtyiikdrbn4ryrbb";

fn digest(key: &str) -> key::Digest {
    key.parse().expect("a key")
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys.iter().map(|key| digest(key)).collect(),
        ..Workspace::default()
    }
}

fn change(puts: Vec<Put>, removes: Vec<Remove>) -> Change {
    Change {
        operation: units::Operation::random(),
        puts,
        removes,
        author: "test".into(),
    }
}

fn put(workspace: Workspace) -> Put {
    Put::Workspace(workspace, None)
}

fn accepted(snapshot: &Snapshot, change: &Change) -> Snapshot {
    match snapshot.apply(change) {
        Ok(Applied::Accepted(next)) => next,
        other => panic!("the change is not accepted: {other:?}"),
    }
}

/// Places of the findings on a change that is refused as invalid.
fn places(snapshot: &Snapshot, change: &Change) -> Vec<String> {
    match snapshot.apply(change) {
        Err(Refusal::Invalid(findings)) => {
            let places = findings.as_slice().iter().map(|one| one.place.clone());
            places.map(|place| place.to_string()).collect()
        }
        other => panic!("the change is not refused: {other:?}"),
    }
}

fn holder<'s>(snapshot: &'s Snapshot, key: &str) -> Option<&'s str> {
    let workspace = snapshot.workspace_of(&digest(key))?;
    Some(workspace.name.as_str())
}

fn two() -> Snapshot {
    let puts = vec![
        put(workspace("pulo", &[OTHER_KEY, KEY])),
        put(workspace("acme", &["third"])),
    ];
    accepted(&Snapshot::default(), &change(puts, Vec::new()))
}

#[test]
fn apply_indexes_keys() {
    let snapshot = two();
    assert_eq!(holder(&snapshot, KEY), Some("pulo"));
    assert_eq!(holder(&snapshot, OTHER_KEY), Some("pulo"));
    assert_eq!(holder(&snapshot, "third"), Some("acme"));
    let pulo = snapshot.workspace("pulo").expect("a workspace");
    assert_eq!(pulo.revision, units::Version(1));
}

/// A key that was taken away was found by the index of the version before.
#[test]
fn apply_forgets_removed_keys() {
    let taken = change(vec![put(workspace("pulo", &[KEY]))], Vec::new());
    let snapshot = accepted(&two(), &taken);
    assert_eq!(holder(&snapshot, OTHER_KEY), None);
    assert_eq!(holder(&snapshot, KEY), Some("pulo"));
    let removed = change(Vec::new(), vec![Remove::Workspace("pulo".into(), None)]);
    let snapshot = accepted(&snapshot, &removed);
    assert_eq!(holder(&snapshot, KEY), None);
    assert_eq!(holder(&snapshot, "third"), Some("acme"));
}

#[test]
fn apply_moves_key() {
    let moved = vec![
        put(workspace("acme", &["third", KEY])),
        put(workspace("pulo", &[OTHER_KEY])),
    ];
    let snapshot = accepted(&two(), &change(moved, Vec::new()));
    assert_eq!(holder(&snapshot, KEY), Some("acme"));
}

#[test]
fn apply_findings() {
    let negative = Workspace {
        rate: units::Rate(-1.0),
        ..workspace("a", &["k"])
    };
    let burst = Workspace {
        burst: 5,
        ..workspace("a", &["k"])
    };
    let cases = [
        (put(workspace("a", &[KEY])), "/workspaces/pulo/keys"),
        (put(negative), "/puts/0/workspace/rate"),
        (put(burst), "/puts/0/workspace/burst"),
        (put(workspace("a", &["k", "k"])), "/puts/0/workspace/keys"),
        (put(workspace("a b", &["k"])), "/puts/0/workspace/name"),
    ];
    let snapshot = two();
    for (put, place) in cases {
        let found = places(&snapshot, &change(vec![put], Vec::new()));
        assert!(found.iter().any(|one| one == place), "{place}: {found:?}");
    }
}

#[test]
fn apply_expected_revision() {
    let stale = Put::Workspace(workspace("pulo", &[KEY]), Some(units::Version(7)));
    let refused = two().apply(&change(vec![stale], Vec::new()));
    assert!(matches!(refused, Err(Refusal::Conflict(_))), "{refused:?}");
    let absent = change(Vec::new(), vec![Remove::Workspace("none".into(), None)]);
    let refused = two().apply(&absent);
    assert!(matches!(refused, Err(Refusal::Conflict(_))), "{refused:?}");
}

#[test]
fn encode_and_decode() {
    let snapshot = two();
    let read = Snapshot::decode(&snapshot.encode()).expect("a snapshot");
    assert_eq!(read.digest(), snapshot.digest());
    assert_eq!(holder(&read, KEY), Some("pulo"));
    let removes = vec![Remove::Workspace("acme".into(), Some(units::Version(1)))];
    let sent = change(vec![put(workspace("pulo", &[KEY]))], removes);
    assert_eq!(Change::decode(&sent.encode()).expect("a change"), sent);
}

#[test]
fn digest_of_text() {
    let text = digest(KEY).to_text();
    assert!(!text.contains(KEY));
    assert_eq!(digest(&text), digest(KEY));
    assert_eq!(digest(KEY), key::Digest::of(KEY.as_bytes()));
    let short = &text[..text.len() - 2];
    for unusable in ["", "two words", "sha256:", "sha256:zz", short] {
        let error = unusable.parse::<key::Digest>().expect_err(unusable);
        let said = error.to_string();
        assert!(unusable.is_empty() || !said.contains(unusable) || unusable == "sha256:");
    }
}

#[test]
fn debug_shows_no_digest() {
    let shown = format!("{:?}", two());
    let text = digest(KEY).to_text();
    let digits = text.trim_start_matches("sha256:");
    assert!(!shown.contains(KEY) && !shown.contains(digits));
}
