//! Model of a service's traffic.

use std::time;

use moves::{Counts, Evidence};
use rand::Rng;
use rand::rngs::StdRng;

use crate::version::{Conditions, Version};

/// Data centres, each of which gets half of the traffic.
pub(crate) const CENTRES: [&str; 2] = ["lautoka", "nadi"];
/// Routes with their requests per second, summed over all data centres.
const ROUTES: [(&str, f64); 3] = [("book", 200.0), ("cancel", 40.0), ("list", 120.0)];
/// Number of backend servers of each version.
pub(crate) const BACKENDS: usize = 4;
/// Number of slots of one backend server at a scale of 1.
pub(crate) const SLOTS: f64 = 20.0;
/// Part of the requests that fail with either version.
const BASE_FAILURES: f64 = 0.003;
/// Median latency, in seconds.
const MEDIAN_LATENCY: f64 = 0.06;
/// Standard deviation of the logarithm of the latency.
const LATENCY_SIGMA: f64 = 0.5;
/// Number of backend servers that run a small share if it is not concentrated.
const MAX_FOCUS: usize = BACKENDS;

/// Requests of one data centre in one period.
#[derive(Debug, Default)]
pub(crate) struct Period {
    pub(crate) evidence: Evidence,
    pub(crate) requests: u64,
    /// Number of requests that failed, or took at least twice as long, because the version is bad.
    pub(crate) harmed: u64,
}

/// Current traffic of the new version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Traffic {
    pub(crate) version: Version,
    /// Part of the requests that go to the new version.
    pub(crate) share: f64,
    /// Number of backend servers on which the share is concentrated.
    pub(crate) focus: usize,
    pub(crate) running: time::Duration,
    /// Factor on the default traffic and slots.
    pub(crate) scale: f64,
}

impl Traffic {
    /// Part of the slots in use on the busiest backend servers of the new version.
    fn load(self) -> f64 {
        let rate: f64 = ROUTES.iter().map(|route| route.1).sum();
        let demand = rate * MEDIAN_LATENCY * (LATENCY_SIGMA * LATENCY_SIGMA / 2.0).exp();
        let backends = self.focus.clamp(1, MAX_FOCUS);
        let backends = f64::from(u32::try_from(backends).unwrap_or(1));
        demand * self.share / backends / SLOTS
    }
}

/// Draws the requests of one data centre in a period of `length`.
pub(crate) fn draw_requests(
    traffic: Traffic,
    length: time::Duration,
    random: &mut StdRng,
) -> Period {
    let mut period = Period::default();
    let load = traffic.load();
    for (index, (route, rate)) in ROUTES.iter().enumerate() {
        let centres = f64::from(u32::try_from(CENTRES.len()).unwrap_or(1));
        let mean = rate * traffic.scale / centres * length.as_secs_f64();
        let conditions = Conditions {
            running: traffic.running,
            load,
            route: index,
        };
        for _ in 0..poisson(mean, random) {
            period.requests += 1;
            let is_new = random.random_bool(traffic.share);
            let pair = period.evidence.route(route);
            if is_new {
                period.harmed +=
                    u64::from(draw_new_request(&mut pair.new, traffic, conditions, random));
            } else {
                let failed = random.random_bool(BASE_FAILURES);
                pair.old.add(failed, latency(random));
            }
        }
    }
    period
}

/// Draws one request to the new version; `true` if it was harmed because the version is bad.
fn draw_new_request(
    counts: &mut Counts,
    traffic: Traffic,
    conditions: Conditions,
    random: &mut StdRng,
) -> bool {
    let is_broken = random.random_bool(traffic.version.failure_rate(conditions));
    let failed = is_broken || random.random_bool(BASE_FAILURES);
    let slowdown = traffic.version.slowdown(conditions);
    counts.add(failed, latency(random).mul_f64(slowdown));
    is_broken || slowdown >= 2.0
}

fn latency(random: &mut StdRng) -> time::Duration {
    time::Duration::from_secs_f64(MEDIAN_LATENCY * (LATENCY_SIGMA * normal(random)).exp())
}

/// Approximately normal deviate: the sum of twelve uniform ones, shifted by its mean.
fn normal(random: &mut StdRng) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    sum - 6.0
}

fn poisson(mean: f64, random: &mut StdRng) -> u64 {
    let mut count = 0;
    let mut time = 0.0;
    loop {
        time -= (1.0 - random.random::<f64>()).ln();
        if time > mean {
            return count;
        }
        count += 1;
    }
}
