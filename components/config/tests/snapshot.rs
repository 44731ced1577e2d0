//! Changes make whole new snapshots or none.

use config::{Applied, Change, Put, Refusal, Remove, Route, Service, Snapshot, Weight};

fn service(name: &str) -> Service {
    let weight = Weight {
        version: "v1".into(),
        share: units::Share::WHOLE,
    };
    Service {
        name: name.into(),
        weights: vec![weight],
        revision: units::Version::default(),
        ..Service::default()
    }
}

fn route(name: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "menus.example".into(),
        path_prefix: format!("/{name}").into(),
        service: service.into(),
        timeout: units::Period::from_secs(2),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(1024),
        revision: units::Version::default(),
        ..Route::default()
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

fn accepted(snapshot: &Snapshot, change: &Change) -> Snapshot {
    match snapshot.apply(change) {
        Ok(Applied::Accepted(next)) => next,
        other => panic!("the change is not accepted: {other:?}"),
    }
}

fn base() -> Snapshot {
    let puts = vec![
        Put::Service(service("menus"), None),
        Put::Route(route("menus", "menus"), None),
    ];
    accepted(&Snapshot::default(), &change(puts, Vec::new()))
}

#[test]
fn apply_accepted() {
    let snapshot = base();
    assert_eq!(snapshot.version(), units::Version(1));
    assert_eq!(
        snapshot.route("menus").map(|one| one.revision),
        Some(units::Version(1))
    );
}

#[test]
fn apply_repeated_operation() {
    let change = change(vec![Put::Service(service("halls"), None)], Vec::new());
    let next = accepted(&base(), &change);
    assert_eq!(
        next.apply(&change),
        Ok(Applied::Repeated(units::Version(2)))
    );
}

#[test]
fn apply_fault_cases() {
    let zero = Some(units::Version(0));
    let mut partial = service("halls");
    partial.weights[0].share = units::Share::from_parts(9_000).unwrap_or_default();
    let mut bad_path = route("bad", "menus");
    bad_path.path_prefix = "menus".into();
    let mut twin = route("twin", "menus");
    twin.path_prefix = "/menus".into();
    let cases = [
        (
            "dangling route",
            change(vec![Put::Route(route("late", "none"), None)], vec![]),
            "/routes/late/service",
        ),
        (
            "service in use",
            change(vec![], vec![Remove::Service("menus".into(), None)]),
            "/routes/menus/service",
        ),
        (
            "partial shares",
            change(vec![Put::Service(partial, None)], vec![]),
            "/puts/0/service/weights",
        ),
        (
            "bad path",
            change(vec![Put::Route(bad_path, None)], vec![]),
            "/puts/0/route/path_prefix",
        ),
        (
            "ambiguous route",
            change(vec![Put::Route(twin, None)], vec![]),
            "/routes/twin",
        ),
        (
            "stale revision",
            change(vec![Put::Service(service("menus"), zero)], vec![]),
            "/puts/0/service",
        ),
        (
            "absent resource",
            change(vec![], vec![Remove::Route("none".into(), None)]),
            "/removes/0",
        ),
    ];
    let snapshot = base();
    for (name, change, place) in cases {
        let findings = match snapshot.apply(&change) {
            Err(Refusal::Invalid(findings) | Refusal::Conflict(findings)) => findings,
            Ok(_) => panic!("{name}: accepted"),
        };
        let places: Vec<_> = findings.as_slice().iter().map(|one| &one.place).collect();
        assert!(places.iter().any(|one| *one == place), "{name}: {places:?}");
    }
}

#[test]
fn decode_encoded() {
    let snapshot = base();
    assert_eq!(Snapshot::decode(&snapshot.encode()), Ok(snapshot));
}

#[test]
fn decode_corrupt() {
    let mut wire = base().encode();
    wire.routes[0].service = "none".into();
    let findings = Snapshot::decode(&wire).expect_err("the route dangles");
    assert_eq!(findings.as_slice()[0].place, "/routes/menus/service");
    let mut wire = base().encode();
    wire.routes[0].timeout_ms += 1;
    let findings = Snapshot::decode(&wire).expect_err("the digest differs");
    assert_eq!(findings.as_slice()[0].place, "/digest");
}

#[test]
fn matches_whole_segments() {
    let route = route("menu", "menus");
    for (host, path, matches) in [
        ("menus.example", "/menu", true),
        ("menus.example", "/menu/7", true),
        ("menus.example", "/menus", false),
        ("other.example", "/menu", false),
    ] {
        assert_eq!(route.matches(host, path), matches, "{host} {path}");
    }
}
