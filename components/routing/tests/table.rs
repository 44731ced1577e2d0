//! Tests of the lookup of routes.

use config::{Applied, Change, Put, Route, Service, Snapshot, Weight};
use routing::Table;

fn route(name: &str, host: &str, prefix: &str) -> Put {
    let route = Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        service: "menus".into(),
        timeout: units::Period::from_secs(1),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(1),
        revision: units::Version::default(),
        ..Route::default()
    };
    Put::Route(route, None)
}

fn snapshot() -> Snapshot {
    let weight = Weight {
        version: "v1".into(),
        share: units::Share::WHOLE,
    };
    let service = Service {
        name: "menus".into(),
        weights: vec![weight],
        revision: units::Version::default(),
        ..Service::default()
    };
    let change = Change {
        operation: units::Operation::random(),
        puts: vec![
            Put::Service(service, None),
            route("any", "", "/"),
            route("week", "", "/menus/week"),
            route("menus", "qc.example", "/menus"),
            route("slash", "qc.example", "/halls/"),
            route("home", "qc.example", "/"),
        ],
        removes: Vec::new(),
        author: "test".into(),
    };
    match Snapshot::default().apply(&change) {
        Ok(Applied::Accepted(snapshot)) => snapshot,
        other => panic!("not accepted: {other:?}"),
    }
}

#[test]
fn find_longest_prefix() {
    let table = Table::new(&snapshot());
    let cases = [
        ("fj.example", "/", Some("any")),
        ("fj.example", "/menus/7", Some("any")),
        ("qc.example", "/", Some("home")),
        ("qc.example", "/menus", Some("menus")),
        ("qc.example", "/menus/7", Some("menus")),
        ("qc.example", "/menus/week/7", Some("week")),
        ("qc.example", "/menus/weekly", Some("menus")),
        ("qc.example", "/menusx", Some("home")),
        ("qc.example", "/halls", Some("home")),
        ("qc.example", "/halls/3", Some("slash")),
        ("fj.example", "*", None),
        ("fj.example", "", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

/// The table finds the same route as a linear search through all routes.
#[test]
fn find_as_linear_search() {
    let snapshot = snapshot();
    let table = Table::new(&snapshot);
    let parts = ["", "menus", "week", "halls", "x"];
    for host in ["qc.example", "fj.example"] {
        for first in parts {
            for second in parts {
                let path = format!("/{first}/{second}");
                let matching = snapshot
                    .routes()
                    .iter()
                    .filter(|route| route.matches(host, &path));
                let best = matching.max_by_key(|route| (route.path_prefix.len(), route.host.len()));
                let found = table.find(host, &path);
                assert_eq!(
                    found.map(|route| &route.name),
                    best.map(|route| &route.name),
                    "{path}"
                );
            }
        }
    }
}
