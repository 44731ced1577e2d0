//! Choice of a backend server.

use std::rc;
use std::time;

use rand::Rng;

use crate::{Endpoint, Group, Placing, Policy, Verdict, soonest};

/// Chooses a backend server of `group`, other than those `tried` where there is one, for a request
/// that moves about `bytes` with its answer.
///
/// Two random choices, of which the one with the lower cost is taken (M. Mitzenmacher, "The Power
/// of Two Choices in Randomized Load Balancing", 2001). This node's data centre goes first; another
/// one gets the request when the choice at home is close to its limit and the one there is not.
#[must_use]
pub fn choose(
    group: &Group,
    tried: &[units::Node],
    bytes: f64,
    policy: &Policy,
    now: time::Instant,
    rng: &mut impl Rng,
) -> Option<rc::Rc<Endpoint>> {
    if policy.placing == Placing::Soonest {
        let soonest = soonest::choose(group, tried, bytes, policy, now, rng);
        return soonest.or_else(|| last_resort(group, tried, now, rng));
    }
    let home = pick(&group.local, tried, policy, now, rng);
    if let Some(home) = &home
        && !is_crowded(home, policy, now)
    {
        return Some(home.clone());
    }
    let away = pick(&group.remote, tried, policy, now, rng);
    match (home, away) {
        (Some(home), Some(away)) if is_crowded(&away, policy, now) => Some(home),
        (home, away) => away
            .or(home)
            .or_else(|| last_resort(group, tried, now, rng)),
    }
}

fn is_crowded(endpoint: &Endpoint, policy: &Policy, now: time::Instant) -> bool {
    let limit = policy.spill_load.as_fraction();
    endpoint.is_busy(now) || endpoint.load(now, policy) >= limit
}

/// Two random choices among those that may get a request.
fn pick(
    endpoints: &[rc::Rc<Endpoint>],
    tried: &[units::Node],
    policy: &Policy,
    now: time::Instant,
    rng: &mut impl Rng,
) -> Option<rc::Rc<Endpoint>> {
    let open = |one: &&rc::Rc<Endpoint>| !tried.contains(&one.node) && one.is_open(now);
    let one = sample(endpoints, open, rng)?;
    if one.health.get().verdict(now) == Verdict::Probe {
        return Some(one.clone());
    }
    let different = |other: &&rc::Rc<Endpoint>| open(other) && !rc::Rc::ptr_eq(other, one);
    let Some(other) = sample(endpoints, different, rng) else {
        return Some(one.clone());
    };
    let better = score(other, policy, now) < score(one, policy, now);
    Some(if better { other } else { one }.clone())
}

fn score(endpoint: &Endpoint, policy: &Policy, now: time::Instant) -> (bool, f64) {
    (endpoint.is_busy(now), endpoint.cost(now, policy))
}

/// One random element that is `wanted`: random tries first, a search from a random place then.
pub(crate) fn sample<'e>(
    endpoints: &'e [rc::Rc<Endpoint>],
    wanted: impl Fn(&&'e rc::Rc<Endpoint>) -> bool,
    rng: &mut impl Rng,
) -> Option<&'e rc::Rc<Endpoint>> {
    const TRIES: usize = 3;
    if endpoints.is_empty() {
        return None;
    }
    for _ in 0..TRIES {
        let one = &endpoints[rng.random_range(0..endpoints.len())];
        if wanted(&one) {
            return Some(one);
        }
    }
    let start = rng.random_range(0..endpoints.len());
    let (before, after) = endpoints.split_at(start);
    after.iter().chain(before).find(wanted)
}

/// Any backend server when all are ejected: a request that may fail beats one that must.
fn last_resort(
    group: &Group,
    tried: &[units::Node],
    now: time::Instant,
    rng: &mut impl Rng,
) -> Option<rc::Rc<Endpoint>> {
    let fresh = |one: &&rc::Rc<Endpoint>| !tried.contains(&one.node) && one.is_usable(now);
    let local = sample(&group.local, fresh, rng);
    local.or_else(|| sample(&group.remote, fresh, rng)).cloned()
}
