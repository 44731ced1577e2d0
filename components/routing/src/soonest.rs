//! Choice of the backend server with the earliest expected answer.

use std::rc;
use std::time;

use rand::Rng;

use crate::choice::sample;
use crate::{Demand, Endpoint, Group, Placing, Policy};

/// Chooses the backend server of `group` with the earliest expected answer, except those in `tried`, for
/// a request of this `demand`.
///
/// Designed for backend servers of different speeds near saturation whose reported load is some
/// milliseconds old. Taking two random candidates of the own data centre and two of others prevents
/// all nodes from sending at once to the one that looked idle last (M. Mitzenmacher, "The Power of
/// Two Choices in Randomized Load Balancing", 2001).
pub(crate) fn choose(
    group: &Group,
    tried: &[units::Node],
    demand: Demand,
    policy: &Policy,
    now: time::Instant,
    rng: &mut impl Rng,
) -> Option<rc::Rc<Endpoint>> {
    let away_cost = policy.away_cost + policy.away_cost_kib * demand.bytes / 1_024.0;
    let local = sample_two(&group.local, tried, now, rng);
    let remote = sample_two(&group.remote, tried, now, rng);
    let candidates = local.into_iter().chain(remote).flatten();
    let costs = candidates.map(|endpoint| {
        let distance = if endpoint.local { 1.0 } else { away_cost };
        (distance * cost(endpoint, demand, policy, now), endpoint)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, endpoint)| endpoint.clone())
}

fn sample_two<'e>(
    endpoints: &'e [rc::Rc<Endpoint>],
    tried: &[units::Node],
    now: time::Instant,
    rng: &mut impl Rng,
) -> [Option<&'e rc::Rc<Endpoint>>; 2] {
    let is_candidate = |endpoint: &&rc::Rc<Endpoint>| {
        !tried.contains(&endpoint.node) && endpoint.is_available(now)
    };
    let first = sample(endpoints, is_candidate, rng);
    let second = sample(
        endpoints,
        |endpoint| {
            is_candidate(endpoint) && first.is_none_or(|first| !rc::Rc::ptr_eq(first, endpoint))
        },
        rng,
    );
    [first, second]
}

/// Returns the expected time until the answer as a multiple of the route's usual latency on an idle server.
fn cost(endpoint: &Endpoint, demand: Demand, policy: &Policy, now: time::Instant) -> f64 {
    /// Cost added to a server that has just refused a request, so that any other one is preferred.
    const BUSY_COST: f64 = 1e3;
    /// Fraction by which a full server is slower than an idle one.
    const FULL_LOAD_SLOWDOWN: f64 = 0.5;
    /// Cost of a wait: a request that waits also delays one that comes after it. Without this, fast servers
    /// would refuse requests while slow ones have free slots.
    const WAITING_COST: f64 = 2.0;
    let load = endpoint.expected_load(now, policy);
    let slowdown = FULL_LOAD_SLOWDOWN * load.min(1.0).powi(4);
    let busy_cost = if endpoint.is_busy(now) {
        BUSY_COST
    } else {
        0.0
    };
    let slow_start_factor = endpoint.slow_start_factor(now, policy);
    let answer = if policy.placing == Placing::LeastWork {
        endpoint.pace() * (1.0 + slowdown) + endpoint.runs_ahead(demand, now) * WAITING_COST
    } else {
        let waiting = (load - 1.0).max(0.0);
        endpoint.latency_ratio() * (1.0 + waiting + slowdown)
    };
    answer / slow_start_factor + busy_cost
}
