//! Simulated requests to both versions, as the nodes observe them.

use std::cell;
use std::rc;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::{Observer, Sample, Withheld};

use super::Mesh;

/// Behaviour of the new version; rates are from 0 to 1.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Behaviour {
    /// Number of requests that a node draws at a time on each route.
    pub(crate) requests: u32,
    /// Failure rate on the route `book`.
    pub(crate) book: f64,
    /// Failure rate on the route `list`.
    pub(crate) list: f64,
    /// Factor by which the new version's requests take longer.
    pub(crate) slowdown: f64,
    /// Number of requests to the new version so far.
    pub(crate) served: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            requests: 10,
            book: 0.002,
            list: 0.002,
            slowdown: 1.0,
            served: 0,
        }
    }
}

const DRAW_INTERVAL: time::Duration = time::Duration::from_millis(5);
const BASE_FAILURES: f64 = 0.002;

/// Request generator of one node.
struct Source {
    recorder: moves::Recorder,
    holder: distribution::Holder,
    withheld: Withheld,
    behaviour: rc::Rc<cell::RefCell<Behaviour>>,
    random: StdRng,
}

/// Makes every node draw requests for as long as the test runs.
pub(super) fn spawn(mesh: &Mesh) {
    for (seed, node) in mesh.nodes.iter().enumerate() {
        let mut source = Source {
            recorder: node.recorder.clone(),
            holder: node.holder.clone(),
            withheld: node.withheld.clone(),
            behaviour: mesh.behaviour.clone(),
            random: StdRng::seed_from_u64(seed as u64),
        };
        compio::runtime::spawn(async move {
            loop {
                compio::time::sleep(DRAW_INTERVAL).await;
                source.draw();
            }
        })
        .detach();
    }
}

impl Source {
    fn draw(&mut self) {
        let snapshot = self.holder.get();
        let service = snapshot.service("menus").expect("it is there").clone();
        let behaviour = *self.behaviour.borrow();
        for _ in 0..behaviour.requests {
            for route in ["book", "list"] {
                let point = self.random.random();
                let is_open = |version: &str| !self.withheld.contains("menus", version);
                let Some(weight) = routing::draw(&service, point, is_open) else {
                    continue;
                };
                let is_new = weight.version == "v2";
                let (rate, slowdown) = match (is_new, route) {
                    (true, "book") => (behaviour.book, behaviour.slowdown),
                    (true, _) => (behaviour.list, behaviour.slowdown),
                    (false, _) => (BASE_FAILURES, 1.0),
                };
                let sample = Sample {
                    service: "menus".into(),
                    version: weight.version.clone(),
                    route: route.into(),
                    failed: self.random.random_bool(rate),
                    latency: self.latency().mul_f64(slowdown),
                };
                self.recorder.observe(&sample);
                self.behaviour.borrow_mut().served += u64::from(is_new);
            }
        }
    }

    fn latency(&mut self) -> time::Duration {
        let spread: f64 = self.random.random_range(0.5..1.5);
        time::Duration::from_secs_f64(0.02 * spread)
    }
}
