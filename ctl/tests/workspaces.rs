//! Workspaces in the file that `apply` and `diff` take; no output tells a key.

use config::{Applied, Put, Snapshot, key};
use radishgapctl::console::Show;
use radishgapctl::document::Document;
use radishgapctl::view::{Configuration, Difference};

const KEY: &str = "7u27gxprymh2rrytapjs";

fn digest() -> String {
    key::Digest::of(KEY.as_bytes()).to_text()
}

fn parse(workspaces: &str) -> Result<Document, findings::Findings> {
    settings::parse(&format!(r#"{{"workspaces": [{workspaces}]}}"#))
}

fn one(key: &str) -> Document {
    let text = format!(
        r#"{{"name": "pulo", "keys": ["{key}"], "rate": "50/s", "burst": 20, "priority": 1}}"#
    );
    parse(&text).expect("a document")
}

fn held(document: &Document) -> Snapshot {
    let operation = "op-1".parse().expect("an id");
    match Snapshot::default().apply(&document.change(operation)) {
        Ok(Applied::Accepted(next)) => next,
        other => panic!("the change is not accepted: {other:?}"),
    }
}

#[test]
fn change_carries_digests() {
    let wanted = key::Digest::of(KEY.as_bytes());
    for given in [KEY, &digest()] {
        let document = one(given);
        let change = document.change("op-1".parse().expect("an id"));
        let Some(Put::Workspace(workspace, None)) = change.puts.first() else {
            panic!("no workspace: {change:?}");
        };
        assert_eq!(workspace.keys, [wanted]);
    }
}

#[test]
fn findings_have_places() {
    let shared = format!(
        r#"{{"name": "a", "keys": ["x", "{KEY}"]}}, {{"name": "b", "keys": ["{}"]}}"#,
        digest()
    );
    let cases = [
        (shared.as_str(), "/workspaces/1/keys/0"),
        (r#"{"name": "a", "burst": 3}"#, "/workspaces/0/burst"),
        (r#"{"name": "a", "keys": ["x", "x"]}"#, "/workspaces/0/keys"),
        (r#"{"name": "a"}, {"name": "a"}"#, "/workspaces/1/name"),
    ];
    for (text, place) in cases {
        let findings = parse(text).expect_err(place);
        let places = findings.as_slice().iter().map(|one| one.place.to_string());
        let places: Vec<_> = places.collect();
        assert!(places.iter().any(|one| one == place), "{place}: {places:?}");
        assert!(!findings.to_string().contains(KEY));
    }
}

#[test]
fn difference_tells_changed_keys() {
    let snapshot = held(&one(KEY));
    assert!(Difference::between(&one(&digest()), &snapshot).is_empty());
    let changed = Difference::between(&one("another"), &snapshot);
    assert_eq!(changed.lines.len(), 1);
    let shown = changed.table();
    assert!(shown.contains("workspace pulo: keys 1"), "{shown}");
    assert!(!shown.contains("another") && !shown.contains(KEY));
}

#[test]
fn read_gives_a_file_to_apply() {
    let snapshot = held(&one(KEY));
    let read = Configuration::from(&snapshot);
    let table = read.table();
    assert!(table.contains("pulo") && !table.contains(KEY), "{table}");
    let text = serde_json::to_string(&read.configuration).expect("JSON");
    assert!(text.contains(&digest()) && !text.contains(KEY));
    let again: Document = settings::parse(&text).expect("a document");
    assert!(Difference::between(&again, &snapshot).is_empty());
}

#[test]
fn locate_places_of_workspaces() {
    let text = format!(
        r#"{{"services": [{{"name": "s", "weights": [{{"version": "v1", "share": "100%"}}]}}],
            "workspaces": [{{"name": "a", "keys": ["{KEY}"]}}, {{"name": "b"}}],
            "remove": {{"services": ["x"], "workspaces": ["c"]}}}}"#
    );
    let document: Document = settings::parse(&text).expect("a document");
    let cases = [
        ("/puts/2/workspace/rate", "/workspaces/1/rate"),
        ("/puts/0/service", "/services/0"),
        ("/removes/1", "/remove/workspaces/0"),
    ];
    for (place, wanted) in cases {
        let found = schema::config::Finding {
            place: place.to_owned(),
            ..Default::default()
        };
        let findings = document.locate(&[found]);
        assert_eq!(findings.as_slice()[0].place, wanted);
    }
}
