//! Changes of configuration, at a rate and through random nodes.

use std::time;

use rand::{Rng, SeedableRng, rngs};
use serde::Serialize;

use crate::failure::Failure;
use crate::fleet::{Addresses, Ports};
use crate::operator::{self, Operator};

/// When a change is due, through which node, and what it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// Time since the start.
    pub at: time::Duration,
    /// Node whose operator API takes it.
    pub node: usize,
    /// Service whose route it changes.
    pub service: usize,
}

units::record! {
    /// A change and what became of it.
    #[derive(Serialize)]
    pub struct Change {
        /// When it was sent.
        pub sent: units::Wall,
        /// When the answer was there.
        pub answered: units::Wall,
        /// Version in which it was accepted; none when it was not, or nobody knows.
        pub version: Option<units::Version>,
        /// Why it was not.
        pub problem: Option<String>,
    }
}

/// Host of all routes.
const HOST: &str = "strings.example";
/// Resources in one change while the configuration is filled.
const BATCH: usize = 200;

/// The changes of a stage; the same seed gives the same ones.
#[must_use]
pub fn schedule(
    seed: u64,
    rate: units::Rate,
    length: units::Period,
    nodes: usize,
    services: usize,
) -> Vec<Due> {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    // Stages have far fewer changes than 2^52.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = (rate.0 * length.0.as_secs_f64()) as usize;
    let due = |number: usize| Due {
        at: length.0.mul_f64(number as f64 / count as f64),
        node: random.random_range(0..nodes),
        service: random.random_range(0..services),
    };
    (0..count).map(due).collect()
}

/// Fills the configuration with `services` services and a route each; gives the last version.
///
/// # Errors
/// The first change that is not accepted.
pub(super) async fn fill(operator: &Operator, services: usize) -> Result<units::Version, Failure> {
    let mut puts = Vec::with_capacity(services * 2);
    for number in 0..services {
        puts.push(operator::service(&name(number), "v1"));
        puts.push(route(number, units::Period::from_secs(1)));
    }
    let mut version = units::Version::default();
    for batch in puts.chunks(BATCH) {
        version = operator.apply(batch.to_vec()).await?;
    }
    Ok(version)
}

/// Sends every change at its time, whatever becomes of earlier ones.
pub(super) async fn send_all(addresses: Addresses, schedule: &[Due]) -> Vec<Change> {
    let started = time::Instant::now();
    let mut tasks = Vec::with_capacity(schedule.len());
    for (number, due) in schedule.iter().copied().enumerate() {
        compio::time::sleep_until(started + due.at).await;
        let address = addresses.vm(due.node, Ports::OPERATOR);
        // Each change differs from the one before.
        let timeout = units::Period::from_millis(1_000 + number as u64);
        let put = route(due.service, timeout);
        tasks.push(compio::runtime::spawn(send(address, put)));
    }
    let mut changes = Vec::with_capacity(tasks.len());
    for task in tasks {
        changes.extend(task.await.ok());
    }
    changes
}

async fn send(address: units::Address, put: config::Put) -> Change {
    let sent = units::Wall::now();
    let accepted = async { Operator::open(address).await?.apply(vec![put]).await };
    let accepted: Result<units::Version, operator::Error> = accepted.await;
    Change {
        sent,
        answered: units::Wall::now(),
        version: accepted.as_ref().ok().copied(),
        problem: accepted.err().map(|error| error.to_string()),
    }
}

fn name(number: usize) -> String {
    format!("service-{number}")
}

fn route(number: usize, timeout: units::Period) -> config::Put {
    let name = name(number);
    operator::route(HOST, &format!("/{name}"), &name, timeout)
}
