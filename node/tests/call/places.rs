//! Evacuated data centres, and regions in which requests stay.

use std::time::{Duration, Instant};

use config::Route;

use crate::backend::Backend;
use crate::caller::{Caller, Got};
use crate::fleet::{Fleet, route};

/// Nodes with a backend server each; the last one is in the data centre `nadi`, in a region of its own.
struct Places {
    fleet: Fleet,
    backends: Vec<Backend>,
    _stops: Vec<kernel::Trigger>,
}

impl Places {
    async fn start(count: usize) -> Self {
        let (mut backends, mut addresses, mut stops) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..count {
            let backend = Backend::default();
            let (address, stop) = backend.start().await;
            backends.push(backend);
            addresses.push(address);
            stops.push(stop);
        }
        let mut fleet = Fleet::start(&addresses).await;
        fleet.place(count - 1, "nadi");
        Self {
            fleet,
            backends,
            _stops: stops,
        }
    }

    fn evacuate(&self, centres: &[&str]) {
        let centres = centres.iter().map(|name| name.parse().expect("a name"));
        self.fleet.evacuations.set(centres.collect());
    }

    fn set_homes(&self, homes: &[&str]) {
        let route = Route {
            homes: homes.iter().map(|name| (*name).into()).collect(),
            ..route("menus", "/", 2_000)
        };
        self.fleet.configure(&[route]);
    }

    async fn send(&self, count: usize) -> Vec<Got> {
        let caller = Caller::open(self.fleet.nodes[0].callers).await;
        let mut got = Vec::new();
        for _ in 0..count {
            got.push(caller.send("GET", "/menu").await);
        }
        got
    }

    fn ran_in_nadi(&self) -> usize {
        self.backends.last().map_or(0, Backend::total)
    }
}

const COUNT: usize = 100;

fn answered(got: &[Got]) -> usize {
    got.iter().filter(|one| one.status == 200).count()
}

#[compio::test]
async fn evacuated_data_centre_is_not_chosen() {
    let places = Places::start(2).await;
    assert_eq!(answered(&places.send(COUNT).await), COUNT);
    let near = places.backends[0].total();
    assert!(near > 0, "its ingress prefers it otherwise");
    places.evacuate(&["ba"]);
    assert_eq!(answered(&places.send(COUNT).await), COUNT);
    assert_eq!(places.backends[0].total(), near);
    assert_eq!(places.fleet.nodes[0].owner.counts().refused, 0);
    places.evacuate(&[]);
    assert_eq!(answered(&places.send(COUNT).await), COUNT);
    assert!(places.backends[0].total() > near, "it is taken back");
}

#[compio::test]
async fn evacuated_owner_refuses_whatever_ingress_believes() {
    let places = Places::start(2).await;
    places.fleet.nodes[0].owner.set_evacuated(true);
    assert_eq!(answered(&places.send(COUNT).await), COUNT);
    assert_eq!(places.backends[0].total(), 0);
    assert_eq!(places.ran_in_nadi(), COUNT);
    assert!(places.fleet.nodes[0].owner.counts().refused > 0);
}

#[compio::test]
async fn evacuation_of_all_refuses_at_once() {
    let places = Places::start(2).await;
    places.evacuate(&["ba", "nadi"]);
    let started = Instant::now();
    let got = places.send(10).await;
    // Far below the timeout of one request.
    assert!(started.elapsed() < Duration::from_secs(1));
    for one in got {
        let seen = (one.status, one.outcome.as_str(), one.reason.as_str());
        assert_eq!(seen, (503, "not-run", "evacuated"));
    }
}

#[compio::test]
async fn homes_bind_first_attempt_and_retries() {
    let places = Places::start(3).await;
    places.set_homes(&["west"]);
    assert_eq!(answered(&places.send(COUNT).await), COUNT);
    assert_eq!(places.ran_in_nadi(), 0);
    for node in &places.fleet.nodes[..2] {
        node.owner.stop();
    }
    assert_eq!(answered(&places.send(10).await), 0);
    assert_eq!(places.ran_in_nadi(), 0);
}

#[compio::test]
async fn homes_and_evacuation_bind_together() {
    let places = Places::start(2).await;
    places.set_homes(&["east"]);
    assert_eq!(answered(&places.send(10).await), 10);
    assert_eq!(places.ran_in_nadi(), 10);
    places.evacuate(&["nadi"]);
    for one in places.send(10).await {
        assert_eq!((one.status, one.reason.as_str()), (503, "evacuated"));
    }
}

#[compio::test]
async fn homes_leave_out_unknown_region() {
    let mut places = Places::start(2).await;
    places.fleet.place(1, "suva");
    places.set_homes(&["west", "east"]);
    assert_eq!(answered(&places.send(COUNT).await), COUNT);
    assert_eq!(places.ran_in_nadi(), 0);
}
