//! Review of configurations that are valid.

use config::{Part, Review, Route, Service, Snapshot, Workspace, key};

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        ..Service::default()
    }
}

fn route() -> Route {
    Route {
        name: "menus".into(),
        path_prefix: "/menus/".into(),
        service: "menus".into(),
        timeout: units::Period::from_secs(2),
        ..Route::default()
    }
}

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.into(),
        keys: vec![key::Digest::of(name.as_bytes())],
        ..Workspace::default()
    }
}

fn review(services: Vec<Service>, route: Route, workspaces: Vec<Workspace>) -> Review {
    let snapshot = Snapshot::whole(units::Version(1), services, vec![route]);
    let snapshot = snapshot.and_then(|one| one.with_workspaces(workspaces));
    Review::new(&snapshot.expect("the configuration is valid"))
}

fn places(review: &Review) -> [Vec<&str>; 2] {
    [&review.unreachable, &review.contradictory].map(|findings| {
        let list = findings.as_slice().iter();
        list.map(|finding| finding.place.as_str()).collect()
    })
}

#[test]
fn review_sound_configuration() {
    let found = review(vec![service("menus")], route(), vec![workspace("halls")]);
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn review_unused_service() {
    let found = review(vec![service("menus"), service("old")], route(), Vec::new());
    assert_eq!(places(&found), [vec!["/services/old"], vec![]]);
}

#[test]
fn review_warmup_without_rate() {
    let mut slow = service("menus");
    slow.warmup = units::Period::from_secs(3);
    let found = review(vec![slow], route(), Vec::new());
    assert_eq!(places(&found), [vec![], vec!["/services/menus/warmup"]]);
}

#[test]
fn review_routes() {
    let split = vec![
        Part {
            service: "menus".into(),
            weight: 1,
        },
        Part {
            service: "other".into(),
            weight: 0,
        },
    ];
    let cases: [(&str, Route, [Vec<&str>; 2]); 3] = [
        (
            "a path that no caller sends",
            Route {
                path_prefix: "/menus/../old/".into(),
                ..route()
            },
            [vec!["/routes/menus/path_prefix"], vec![]],
        ),
        (
            "a service without weight",
            Route { split, ..route() },
            [vec!["/routes/menus/split/1"], vec![]],
        ),
        (
            "a target after the timeout",
            Route {
                target: units::Period::from_secs(3),
                ..route()
            },
            [vec![], vec!["/routes/menus/target"]],
        ),
    ];
    for (name, route, expected) in cases {
        let services = vec![service("menus"), service("other")];
        let mut found = places(&review(services, route.clone(), Vec::new())).map(|list| {
            let list = list.into_iter().filter(|place| *place != "/services/other");
            list.map(str::to_owned).collect::<Vec<_>>()
        });
        found.iter_mut().for_each(|list| list.sort());
        assert_eq!(found, expected, "{name}");
    }
}

#[test]
fn review_workspaces() {
    let keyless = Workspace {
        keys: Vec::new(),
        ..workspace("keyless")
    };
    let unfilled = Workspace {
        burst: 5,
        ..workspace("unfilled")
    };
    let found = review(vec![service("menus")], route(), vec![keyless, unfilled]);
    let expected = [
        vec!["/workspaces/keyless/keys"],
        vec!["/workspaces/unfilled/burst"],
    ];
    assert_eq!(places(&found), expected);
}

#[test]
fn review_homes_without_common_region() {
    let at = |name: &str, home: &str| Workspace {
        homes: vec![home.into()],
        ..workspace(name)
    };
    let north = Route {
        homes: vec!["north".into()],
        ..route()
    };
    let none = review(
        vec![service("menus")],
        north.clone(),
        vec![at("a", "south")],
    );
    assert_eq!(places(&none), [vec!["/routes/menus/homes"], vec![]]);
    let some = vec![at("a", "south"), at("b", "north")];
    let some = review(vec![service("menus")], north, some);
    assert_eq!(places(&some), [vec![], vec!["/routes/menus/homes"]]);
}
