//! A small model of a service's traffic.

use std::time;

use moves::{Counts, Evidence};
use rand::Rng;
use rand::rngs::StdRng;

use crate::version::{Moment, Version};

/// Data centres, each with half of the traffic.
pub(crate) const CENTRES: [&str; 2] = ["lautoka", "nadi"];
/// Requests a second on each route, in all data centres together.
const ROUTES: [(&str, f64); 3] = [("book", 200.0), ("cancel", 40.0), ("list", 120.0)];
/// Backend servers of either version.
pub(crate) const BACKENDS: usize = 4;
/// Slots of one backend server at a scale of 1.
pub(crate) const SLOTS: f64 = 20.0;
/// Part of the requests that fail whatever the version.
const BASE_FAILURES: f64 = 0.003;
/// Median latency, in seconds.
const MEDIAN: f64 = 0.06;
/// Standard deviation of the logarithm of the latency.
const SPREAD: f64 = 0.5;
/// Backend servers that run a small share when it is not concentrated.
const EVERYWHERE: usize = BACKENDS;

/// What one period brought.
#[derive(Debug, Default)]
pub(crate) struct Period {
    pub(crate) evidence: Evidence,
    pub(crate) requests: u64,
    /// Requests that failed, or took at least twice as long, because the version is bad.
    pub(crate) harmed: u64,
}

/// What the new version has at the moment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Traffic {
    pub(crate) version: Version,
    /// Part of the requests that go to the new version.
    pub(crate) share: f64,
    /// Backend servers on which that part is concentrated.
    pub(crate) focus: usize,
    pub(crate) running: time::Duration,
    /// Traffic and slots, in multiples of the usual.
    pub(crate) scale: f64,
}

impl Traffic {
    /// Part of the slots of the busiest new backend servers that is filled.
    fn load(self) -> f64 {
        let rate: f64 = ROUTES.iter().map(|route| route.1).sum();
        let demand = rate * MEDIAN * (SPREAD * SPREAD / 2.0).exp();
        let backends = self.focus.clamp(1, EVERYWHERE);
        let backends = f64::from(u32::try_from(backends).unwrap_or(1));
        demand * self.share / backends / SLOTS
    }
}

/// Draws the requests of one data centre over `length`.
pub(crate) fn draw(traffic: Traffic, length: time::Duration, random: &mut StdRng) -> Period {
    let mut period = Period::default();
    let load = traffic.load();
    for (index, (route, rate)) in ROUTES.iter().enumerate() {
        let centres = f64::from(u32::try_from(CENTRES.len()).unwrap_or(1));
        let expected = rate * traffic.scale / centres * length.as_secs_f64();
        let moment = Moment {
            running: traffic.running,
            load,
            route: index,
        };
        for _ in 0..poisson(expected, random) {
            period.requests += 1;
            let is_new = random.random_bool(traffic.share);
            let pair = period.evidence.route(route);
            if is_new {
                period.harmed += u64::from(draw_new(&mut pair.new, traffic, moment, random));
            } else {
                let failed = random.random_bool(BASE_FAILURES);
                pair.old.add(failed, latency(random));
            }
        }
    }
    period
}

/// Draws one request to the new version; `true` when its badness has harmed it.
fn draw_new(counts: &mut Counts, traffic: Traffic, moment: Moment, random: &mut StdRng) -> bool {
    let broken = random.random_bool(traffic.version.failing(moment));
    let failed = broken || random.random_bool(BASE_FAILURES);
    let slowdown = traffic.version.slowdown(moment);
    counts.add(failed, latency(random).mul_f64(slowdown));
    broken || slowdown >= 2.0
}

fn latency(random: &mut StdRng) -> time::Duration {
    time::Duration::from_secs_f64(MEDIAN * (SPREAD * normal(random)).exp())
}

/// Nearly a normal deviate: the sum of twelve uniform ones.
fn normal(random: &mut StdRng) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    sum - 6.0
}

fn poisson(expected: f64, random: &mut StdRng) -> u64 {
    let mut count = 0;
    let mut time = 0.0;
    loop {
        time -= (1.0 - random.random::<f64>()).ln();
        if time > expected {
            return count;
        }
        count += 1;
    }
}
