//! Properties of snapshots under random changes and random bytes.

use config::{Applied, Change, Findings, Put, Remove, Route, Service, Snapshot, Weight};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};
use prost::Message;
use schema::config as wire;

const NAMES: [&str; 4] = ["archives", "halls", "menus", "seats"];

fn name() -> impl Strategy<Value = &'static str> {
    prop::sample::select(&NAMES[..])
}

fn revision() -> impl Strategy<Value = Option<units::Version>> {
    prop_oneof![
        4 => proptest::strategy::Just(None),
        1 => (0_u64..4).prop_map(|number| Some(units::Version(number))),
    ]
}

fn service(name: &str, parts: u32) -> Service {
    let share = units::Share::from_parts(parts).unwrap_or(units::Share::WHOLE);
    let weight = |version: &str, share| Weight {
        version: version.into(),
        share,
    };
    Service {
        name: name.into(),
        weights: vec![weight("v1", share), weight("v2", share.rest())],
        revision: units::Version::default(),
        ..Service::default()
    }
}

fn route(name: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: compact_str::CompactString::default(),
        path_prefix: format!("/{name}").into(),
        service: service.into(),
        timeout: units::Period::from_secs(1),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(1024),
        revision: units::Version::default(),
        ..Route::default()
    }
}

fn put() -> impl Strategy<Value = Put> {
    prop_oneof![
        (name(), 0_u32..12_000, revision())
            .prop_map(|(name, parts, expected)| Put::Service(service(name, parts), expected)),
        (name(), name(), revision())
            .prop_map(|(name, service, expected)| Put::Route(route(name, service), expected)),
    ]
}

fn remove() -> impl Strategy<Value = Remove> {
    prop_oneof![
        (name(), revision()).prop_map(|(name, expected)| Remove::Service(name.into(), expected)),
        (name(), revision()).prop_map(|(name, expected)| Remove::Route(name.into(), expected)),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    let operation = (0_u32..30).prop_map(|number| format!("operation-{number}"));
    let puts = prop::collection::vec(put(), 0..4);
    let removes = prop::collection::vec(remove(), 0..2);
    (operation, puts, removes).prop_map(|(operation, puts, removes)| Change {
        operation: operation.parse().expect("it is an operation id"),
        puts,
        removes,
        author: "test".into(),
    })
}

proptest! {
    /// Replaying the accepted changes gives the same snapshot, and no step leaves a dangling route.
    #[test]
    fn apply_replay(changes in prop::collection::vec(change(), 0..24)) {
        let mut snapshot = Snapshot::default();
        let mut replica = Snapshot::default();
        for change in &changes {
            let Ok(Applied::Accepted(next)) = snapshot.apply(change) else {
                continue;
            };
            prop_assert_eq!(next.version(), snapshot.version().next());
            for route in next.routes() {
                prop_assert!(next.service(&route.service).is_some());
            }
            let entry = wire::Change::decode(change.encode().encode_to_vec().as_slice());
            let received = Change::decode(&entry.expect("it was just encoded"));
            let received = received.expect("an accepted change is well formed");
            let replayed = replica.apply_all(&[received]);
            replica = replayed.expect("both replicas hold the same");
            snapshot = next;
            prop_assert_eq!(snapshot.digest(), replica.digest());
        }
        prop_assert_eq!(Snapshot::decode(&replica.encode()), Ok(snapshot));
    }

    /// Arbitrary bytes are refused with findings or read, and never panic.
    #[test]
    fn decode_bytes(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        if let Ok(wire) = wire::Checkpoint::decode(bytes.as_slice()) {
            let _: Result<Snapshot, Findings> = Snapshot::decode(&wire);
        }
        if let Ok(wire) = wire::Change::decode(bytes.as_slice()) {
            let _: Result<Change, Findings> = Change::decode(&wire);
        }
    }
}
