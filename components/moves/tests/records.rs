//! Tests of records, evidence and the catalogue of moves.

use std::time;

use moves::{
    Alarm, Catalogue, Counts, Evidence, Histogram, Id, Merged, Record, RecordedMove, Recorder,
    State,
};
use platform::Revision;
use proptest::prelude::*;
use routing::Observer;

fn record(number: u32, state: State) -> Record {
    Record {
        id: Id::new("menus", number),
        operation: format!("op-{number}").parse().expect("an id"),
        from: "v1".into(),
        to: "v2".into(),
        deadline: units::Wall(2_000),
        started: units::Wall(1_000),
        ended: matches!(state, State::Done | State::TakenBack).then_some(units::Wall(1_500)),
        state,
        reason: "a reason".into(),
        step: 2,
        step_since: units::Wall(1_200),
        original: vec![config::Weight {
            version: "v1".into(),
            share: units::Share::WHOLE,
        }],
        runner: Some("n1".parse().expect("an id")),
        fence: 3,
        nonce: 99,
        overridden: false,
        accepted: units::Version(7),
    }
}

fn alarm(number: u32) -> Alarm {
    Alarm {
        id: Id::new("menus", number),
        version: "v2".into(),
        reason: "bad".into(),
        node: "n2".into(),
        raised: units::Wall(1_300),
    }
}

#[test]
fn from_bytes_round_trip() {
    for state in [
        State::Running,
        State::TakingBack,
        State::Done,
        State::TakenBack,
    ] {
        let record = record(1, state);
        assert_eq!(Record::from_bytes(&record.to_bytes()), Some(record));
    }
    assert_eq!(Record::from_bytes(b"not a record"), None);
    assert_eq!(Record::from_bytes(b""), None);
}

#[test]
fn id_round_trip() {
    for (text, parsed) in [
        ("menus-1", Some(Id::new("menus", 1))),
        ("book-desk-12", Some(Id::new("book-desk", 12))),
        ("menus", None),
        ("-1", None),
        ("menus-x", None),
        ("a b-1", None),
    ] {
        let id: Option<Id> = text.parse().ok();
        assert_eq!(id, parsed, "{text}");
        assert!(id.is_none_or(|id| id.to_string() == text));
    }
}

#[test]
fn merge_cases() {
    use State::{Done, Running, TakenBack, TakingBack};
    for (name, first, then, expected) in [
        ("same revision", (5, Running), (5, Running), Merged::Known),
        ("older", (5, Done), (4, Running), Merged::Known),
        ("a step", (5, Running), (6, Running), Merged::Detail),
        ("an end", (5, Running), (6, Done), Merged::News),
        ("taken back", (5, TakingBack), (6, TakenBack), Merged::News),
        (
            "done after the decision to take back",
            (5, TakingBack),
            (6, Done),
            Merged::Violation,
        ),
        ("a second end", (5, Done), (6, TakenBack), Merged::Violation),
        (
            "an earlier second end",
            (5, Done),
            (4, TakenBack),
            Merged::Violation,
        ),
        (
            "running again",
            (5, TakenBack),
            (6, Running),
            Merged::Violation,
        ),
    ] {
        let mut catalogue = Catalogue::default();
        assert_eq!(
            catalogue.merge(Revision(first.0), record(1, first.1)),
            Merged::News
        );
        let merged = catalogue.merge(Revision(then.0), record(1, then.1));
        assert_eq!(merged, expected, "{name}");
        let held = catalogue.get(&Id::new("menus", 1)).expect("it is held");
        let is_merged = matches!(merged, Merged::News | Merged::Detail);
        let state = if is_merged { then.1 } else { first.1 };
        assert_eq!(held.record.state, state, "{name}");
    }
}

#[test]
fn withheld_cases() {
    let pair = vec![("menus".into(), "v2".into())];
    let mut catalogue = Catalogue::default();
    catalogue.add_alarm(alarm(1));
    assert_eq!(catalogue.withheld(), pair, "an alarm of an unknown move");
    catalogue.merge(Revision(1), record(1, State::Running));
    assert_eq!(catalogue.withheld(), pair, "an alarm of a running move");
    catalogue.merge(Revision(2), record(1, State::TakenBack));
    assert_eq!(catalogue.withheld(), pair, "a move that was taken back");
    assert!(
        !catalogue.add_alarm(alarm(1)),
        "an alarm of a move that has ended"
    );
    catalogue.merge(Revision(3), record(2, State::Running));
    assert!(
        catalogue.withheld().is_empty(),
        "a later move has it as its new version"
    );
    catalogue.add_alarm(alarm(2));
    catalogue.merge(Revision(4), record(2, State::Done));
    assert!(catalogue.withheld().is_empty(), "the later move is done");
    let mut overridden = record(3, State::TakenBack);
    overridden.overridden = true;
    catalogue.merge(Revision(5), overridden);
    assert!(
        catalogue.withheld().is_empty(),
        "shares set by an operator take precedence"
    );
}

#[test]
fn digests_differ_by_alarm_but_not_by_step() {
    let mut one = Catalogue::default();
    one.merge(Revision(1), record(1, State::Running));
    let mut other = one.clone();
    assert_eq!(one.digests(), other.digests());
    let mut step = record(1, State::Running);
    step.step = 3;
    other.merge(Revision(2), step);
    assert_eq!(
        one.digests(),
        other.digests(),
        "a step alone does not change the digests"
    );
    one.add_alarm(alarm(1));
    assert_ne!(one.digests(), other.digests());
}

#[test]
fn expire_keeps_last_move() {
    let mut catalogue = Catalogue::default();
    for number in 1..4 {
        catalogue.merge(Revision(u64::from(number)), record(number, State::Done));
    }
    catalogue.expire(units::Wall(1_400));
    assert_eq!(catalogue.entries().len(), 3);
    catalogue.expire(units::Wall(9_000));
    let numbers: Vec<_> = catalogue
        .entries()
        .iter()
        .map(|entry| entry.record.id.number())
        .collect();
    assert_eq!(numbers, [3]);
}

#[test]
fn recorder_ignores_versions_without_move() {
    let recorder = Recorder::default();
    let observe = |service: &str, version: &str, route: &str| {
        recorder.observe(&routing::Sample {
            service: service.into(),
            version: version.into(),
            route: route.into(),
            failed: false,
            latency: time::Duration::from_millis(5),
        });
    };
    observe("menus", "v1", "list");
    assert!(recorder.take().is_empty(), "no move is recorded yet");
    let recorded = |number: u32| RecordedMove {
        service: "menus".into(),
        from: "v1".into(),
        to: "v2".into(),
        id: Id::new("menus", number),
    };
    recorder.record(vec![recorded(1)]);
    for (service, version) in [
        ("menus", "v1"),
        ("menus", "v2"),
        ("menus", "v0"),
        ("other", "v1"),
    ] {
        observe(service, version, "list");
    }
    recorder.record(vec![recorded(1)]);
    let taken = recorder.take();
    assert_eq!(taken.len(), 1);
    let (route, pair) = &taken[0].1.routes()[0];
    assert_eq!(
        (route.as_str(), pair.old.requests, pair.new.requests),
        ("list", 1, 1)
    );
    assert!(recorder.take().is_empty());
    observe("menus", "v1", "list");
    recorder.record(vec![recorded(2)]);
    assert!(
        recorder.take().is_empty(),
        "evidence of another move is dropped"
    );
}

proptest! {
    #[test]
    fn bucket_contains(micros in 0_u64..100_000_000) {
        let latency = time::Duration::from_micros(micros);
        let bucket = Histogram::bucket(latency);
        prop_assert!(Histogram::lower(bucket) <= latency);
        let is_last = bucket + 1 == Histogram::BUCKETS;
        prop_assert!(is_last || latency < Histogram::lower(bucket + 1));
    }

    #[test]
    fn evidence_round_trip(samples in prop::collection::vec((0_usize..3, any::<bool>(), any::<bool>(), 0_u64..1_000_000), 0..200)) {
        let mut evidence = Evidence::default();
        for (route, is_new, failed, micros) in samples {
            let pair = evidence.route(["a", "b", "c"][route]);
            let counts: &mut Counts = if is_new { &mut pair.new } else { &mut pair.old };
            counts.add(failed, time::Duration::from_micros(micros));
        }
        prop_assert_eq!(Evidence::decode(&evidence.encode("menus-1")), evidence);
    }

    #[test]
    fn record_from_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Record::from_bytes(&bytes);
    }
}
