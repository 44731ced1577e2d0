//! Choice of the backend server whose answer is due soonest.

use std::rc;
use std::time;

use rand::Rng;

use crate::choice::sample;
use crate::{Endpoint, Group, Policy};

/// Chooses the backend server of `group` whose answer is due soonest, other than those `tried`, for a
/// request that moves `bytes` with its answer.
///
/// The load that it answers: backend servers of different speeds, near saturation, with figures of
/// their load that are some milliseconds old. Two random candidates of the own data centre and two
/// of others keep the nodes from sending at once to the one that looked idle last (M. Mitzenmacher,
/// "The Power of Two Choices in Randomized Load Balancing", 2001).
pub(crate) fn choose(
    group: &Group,
    tried: &[units::Node],
    bytes: f64,
    policy: &Policy,
    now: time::Instant,
    rng: &mut impl Rng,
) -> Option<rc::Rc<Endpoint>> {
    let away_cost = policy.away_cost + policy.away_cost_kib * bytes / 1_024.0;
    let home = two(&group.local, tried, now, rng);
    let away = two(&group.remote, tried, now, rng);
    let candidates = home.into_iter().chain(away).flatten();
    let costed = candidates.map(|one| {
        let distance = if one.local { 1.0 } else { away_cost };
        (distance * cost(one, policy, now), one)
    });
    let best = costed.min_by(|one, other| one.0.total_cmp(&other.0));
    best.map(|(_, endpoint)| endpoint.clone())
}

fn two<'e>(
    endpoints: &'e [rc::Rc<Endpoint>],
    tried: &[units::Node],
    now: time::Instant,
    rng: &mut impl Rng,
) -> [Option<&'e rc::Rc<Endpoint>>; 2] {
    let open = |one: &&rc::Rc<Endpoint>| !tried.contains(&one.node) && one.is_open(now);
    let first = sample(endpoints, open, rng);
    let second = sample(
        endpoints,
        |one| open(one) && first.is_none_or(|first| !rc::Rc::ptr_eq(first, one)),
        rng,
    );
    [first, second]
}

/// Time until the answer, as a multiple of the route's usual latency on an idle server.
fn cost(endpoint: &Endpoint, policy: &Policy, now: time::Instant) -> f64 {
    /// Cost of a server that has just refused a request: any other one goes first.
    const BUSY: f64 = 1e3;
    /// Part by which a full server is slower than an idle one.
    const CROWDING: f64 = 0.5;
    let load = endpoint.expected_load(now, policy);
    let waiting = (load - 1.0).max(0.0);
    let crowding = CROWDING * load.min(1.0).powi(4);
    let busy = if endpoint.is_busy(now) { BUSY } else { 0.0 };
    let warmth = endpoint.warmth(now, policy);
    endpoint.slowness() * (1.0 + waiting + crowding) / warmth + busy
}
