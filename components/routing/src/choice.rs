//! Choice of a backend server for a request.

use std::rc;
use std::time;

use rand::Rng;

use crate::{Demand, Endpoint, Group, Placing, Policy, Verdict, soonest};

/// Chooses a backend server of `group` that is not in `tried`, if there is one, for a request of
/// this `demand`; a number is the bytes of the request and its answer.
///
/// Of two random candidates, the one with the lower cost is chosen (M. Mitzenmacher, "The Power of
/// Two Choices in Randomized Load Balancing", 2001). This node's data centre is preferred; another
/// one gets the request if the local choice is close to its limit and the remote choice is not.
#[must_use]
pub fn choose(
    group: &Group,
    tried: &[units::Node],
    demand: impl Into<Demand>,
    policy: &Policy,
    now: time::Instant,
    rng: &mut impl Rng,
) -> Option<rc::Rc<Endpoint>> {
    if policy.placing != Placing::Nearest {
        let demand = demand.into();
        let soonest = soonest::choose(group, tried, demand, policy, now, rng);
        return soonest.or_else(|| last_resort(group, tried, now, rng));
    }
    let local = choose_of_two(&group.local, tried, policy, now, rng);
    if let Some(local) = &local
        && !is_near_limit(local, policy, now)
    {
        return Some(local.clone());
    }
    let remote = choose_of_two(&group.remote, tried, policy, now, rng);
    match (local, remote) {
        (Some(local), Some(remote)) if is_near_limit(&remote, policy, now) => Some(local),
        (local, remote) => remote
            .or(local)
            .or_else(|| last_resort(group, tried, now, rng)),
    }
}

fn is_near_limit(endpoint: &Endpoint, policy: &Policy, now: time::Instant) -> bool {
    let limit = policy.spill_load.as_fraction();
    endpoint.is_busy(now) || endpoint.load(now, policy) >= limit
}

/// Chooses the better one of two random available backend servers.
fn choose_of_two(
    endpoints: &[rc::Rc<Endpoint>],
    tried: &[units::Node],
    policy: &Policy,
    now: time::Instant,
    rng: &mut impl Rng,
) -> Option<rc::Rc<Endpoint>> {
    let is_candidate = |endpoint: &&rc::Rc<Endpoint>| {
        !tried.contains(&endpoint.node) && endpoint.is_available(now)
    };
    let first = sample(endpoints, is_candidate, rng)?;
    if first.health.get().verdict(now) == Verdict::Probe {
        return Some(first.clone());
    }
    let is_other =
        |endpoint: &&rc::Rc<Endpoint>| is_candidate(endpoint) && !rc::Rc::ptr_eq(endpoint, first);
    let Some(second) = sample(endpoints, is_other, rng) else {
        return Some(first.clone());
    };
    let second_is_better = score(second, policy, now) < score(first, policy, now);
    Some(if second_is_better { second } else { first }.clone())
}

fn score(endpoint: &Endpoint, policy: &Policy, now: time::Instant) -> (bool, f64) {
    (endpoint.is_busy(now), endpoint.cost(now, policy))
}

/// Returns a random endpoint that satisfies `predicate`: by random tries first, then by a linear search
/// from a random index.
pub(crate) fn sample<'e>(
    endpoints: &'e [rc::Rc<Endpoint>],
    predicate: impl Fn(&&'e rc::Rc<Endpoint>) -> bool,
    rng: &mut impl Rng,
) -> Option<&'e rc::Rc<Endpoint>> {
    const RANDOM_TRIES: usize = 3;
    if endpoints.is_empty() {
        return None;
    }
    for _ in 0..RANDOM_TRIES {
        let endpoint = &endpoints[rng.random_range(0..endpoints.len())];
        if predicate(&endpoint) {
            return Some(endpoint);
        }
    }
    let start = rng.random_range(0..endpoints.len());
    let (before, after) = endpoints.split_at(start);
    after.iter().chain(before).find(predicate)
}

/// Chooses any usable backend server when all are ejected, as a request that may fail is better than
/// one that fails for certain.
fn last_resort(
    group: &Group,
    tried: &[units::Node],
    now: time::Instant,
    rng: &mut impl Rng,
) -> Option<rc::Rc<Endpoint>> {
    let is_untried =
        |endpoint: &&rc::Rc<Endpoint>| !tried.contains(&endpoint.node) && endpoint.is_usable(now);
    let local = sample(&group.local, is_untried, rng);
    local
        .or_else(|| sample(&group.remote, is_untried, rng))
        .cloned()
}
