//! Operators who race on one route from several nodes.

use std::time;

use rand::{Rng, SeedableRng, rngs};
use serde::Serialize;

use super::Region;
use crate::fleet::{Addresses, Ports};
use crate::operator::{self, Operator};

/// What came of the races.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Race {
    /// Pairs of changes that expected the same revision.
    pub pairs: u64,
    /// Pairs of which one change was accepted.
    pub one: u64,
    /// Pairs of which none was accepted, or nobody knows.
    pub none: u64,
    /// Pairs of which both were accepted, which breaks a promise.
    pub both: u64,
    /// Changes that named a missing service and were accepted, which breaks a promise.
    pub dangling: u64,
    /// Changes that named a missing service and were refused.
    pub refused: u64,
}

/// Path of the route that the operators race on.
const PATH: &str = "/race";
/// Its name, as made from the path.
const NAME: &str = "race";
/// Time between two pairs.
const EVERY: time::Duration = time::Duration::from_millis(700);

/// Races for `length`, through nodes that the seed draws.
pub(super) async fn race(
    addresses: Addresses,
    nodes: usize,
    region: Region,
    length: time::Duration,
    seed: u64,
) -> Race {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let started = time::Instant::now();
    let mut race = Race::default();
    let mut number = 0;
    while started.elapsed() < length {
        let mut operator = || addresses.vm(random.random_range(0..nodes), Ports::OPERATOR);
        let (one, other, third) = (operator(), operator(), operator());
        if let Some(expected) = revision(third).await {
            number += 1;
            let service = region.services()[0].0;
            let first = apply(one, service, expected, number * 2);
            let second = apply(other, service, expected, number * 2 + 1);
            let (first, second) = futures_util::join!(first, second);
            race.count(first, second);
            race.dangle(third).await;
        }
        compio::time::sleep(EVERY).await;
    }
    race
}

impl Race {
    fn count(&mut self, first: bool, second: bool) {
        self.pairs += 1;
        match (first, second) {
            (true, true) => self.both += 1,
            (false, false) => self.none += 1,
            _ => self.one += 1,
        }
    }

    /// Tries a change with a route to a service that does not exist.
    async fn dangle(&mut self, address: units::Address) {
        let timeout = units::Period::from_secs(1);
        let put = operator::route(Region::HOST, "/dangling", "missing", timeout);
        let applied = async { Operator::open(address).await?.apply(vec![put]).await };
        match applied.await {
            Ok(_) => self.dangling += 1,
            Err(operator::Error::Refused(_) | operator::Error::Status(_)) => self.refused += 1,
            Err(_) => {}
        }
    }
}

/// Revision of the route; zero before there is one.
async fn revision(address: units::Address) -> Option<units::Version> {
    let operator = Operator::open(address).await.ok()?;
    let revision = operator.route_revision(NAME).await.ok()?;
    Some(revision.unwrap_or_default())
}

/// Changes the route if it has the `expected` revision; whether that was accepted for sure.
async fn apply(
    address: units::Address,
    service: &str,
    expected: units::Version,
    number: u64,
) -> bool {
    let timeout = units::Period::from_millis(1_000 + number);
    let put = operator::route(Region::HOST, PATH, service, timeout);
    let config::Put::Route(route, _) = put else {
        return false;
    };
    let put = config::Put::Route(route, Some(expected));
    let applied = async { Operator::open(address).await?.apply(vec![put]).await };
    applied.await.is_ok()
}
