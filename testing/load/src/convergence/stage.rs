//! One stage: a number of nodes, changes at a rate, and nodes killed throughout.

use std::time;

use rand::seq::IteratorRandom;
use rand::{SeedableRng, rngs};

use super::costs::Reading;
use super::figures::IN_FORCE_LIMIT;
use super::{History, Selection, Stage, Variant, changes};
use crate::failure::Failure;
use crate::fleet::{Error, Mesh, Ports, Shape, Site};
use crate::operator::Operator;
use crate::variant::{Baseline, Value};

/// Data centres of the nodes, as in the users' Fiji region.
const DATA_CENTRES: [&str; 4] = ["lautoka", "nadi", "ba", "sigatoka"];
/// Nodes that start at a time, so that starts do not starve each other.
const START_BATCH: usize = 20;
/// Time between two rounds of kills.
const KILL_EVERY: time::Duration = time::Duration::from_secs(5);
/// Time from a kill to the new start.
const DEAD_FOR: time::Duration = time::Duration::from_secs(2);
/// Quiet time before the counters are read first.
const SETTLE: time::Duration = time::Duration::from_secs(3);

pub(super) async fn run(
    variant: Variant,
    nodes: usize,
    selection: &Selection,
    seed: u64,
) -> Result<Stage, Failure> {
    let mut bench = Bench::start(variant, nodes, seed).await?;
    let operator = Operator::open(bench.mesh.addresses().vm(0, Ports::OPERATOR)).await?;
    let filled = changes::fill(&operator, selection.services).await?;
    drop(operator);
    bench.await_in_force(filled).await?;
    compio::time::sleep(SETTLE).await;
    let (rate, length) = (selection.rate, selection.length);
    let schedule = changes::schedule(seed, rate, length, nodes, selection.services);
    let before = Reading::take(&bench.mesh).await;
    let addresses = bench.mesh.addresses();
    let sent = changes::send_all(addresses, &schedule);
    let churn = bench.churn(selection, seed);
    let (sent, kills) = futures_util::join!(sent, churn);
    let kills = kills?;
    let newest = sent.iter().filter_map(|one| one.version).max();
    let arrived = bench.await_in_force(newest.unwrap_or(filled)).await;
    if let Err(error) = arrived {
        println!("  {error}");
    }
    let accepted = sent.iter().filter(|one| one.version.is_some()).count();
    let after = Reading::take(&bench.mesh).await;
    let costs = after.costs_since(&before, accepted);
    Ok(Stage::new(variant, &sent, &bench.histories(), kills, costs))
}

struct Bench {
    mesh: Mesh,
}

/// Each node watches the platform itself.
const BASELINE: Baseline = Baseline {
    section: "distribution",
    key: "mode",
    value: Value::Text("direct"),
};

impl Bench {
    async fn start(variant: Variant, nodes: usize, seed: u64) -> Result<Self, Failure> {
        let site = |number: usize| {
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            Site::bare(&format!("node-{number}"), data_centre)
        };
        let sites: Result<Vec<_>, _> = (0..nodes).map(site).collect();
        let mut shape = Shape::new("fiji-west", sites?)?;
        shape.seed = seed;
        // At this level nodes log each version that comes into force.
        shape.log_level = telemetry::Level::Debug;
        variant.set(&mut shape, BASELINE);
        let mesh = Mesh::start_platform(shape).await?;
        let mut bench = Self { mesh };
        let all: Vec<_> = (0..nodes).collect();
        for batch in all.chunks(START_BATCH) {
            for index in batch {
                bench.mesh.start_node(*index)?;
            }
            for index in batch {
                bench.mesh.await_node(*index).await?;
            }
        }
        Ok(bench)
    }

    /// Kills a share of the nodes again and again; gives the number of kills.
    async fn churn(&mut self, selection: &Selection, seed: u64) -> Result<usize, Failure> {
        let nodes = self.mesh.nodes.len();
        // A few hundred nodes.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = (selection.churn.as_fraction() * nodes as f64).ceil() as usize;
        if count == 0 {
            return Ok(0);
        }
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let (started, mut kills, mut round) = (time::Instant::now(), 0, 1);
        while KILL_EVERY * round < selection.length.0 {
            compio::time::sleep_until(started + KILL_EVERY * round).await;
            let victims = (0..nodes).choose_multiple(&mut random, count);
            for victim in &victims {
                if let Some(node) = &mut self.mesh.nodes[*victim] {
                    node.kill();
                }
            }
            kills += victims.len();
            compio::time::sleep(DEAD_FOR).await;
            for victim in victims {
                self.mesh.start_node(victim)?;
            }
            round += 1;
        }
        Ok(kills)
    }

    /// Waits until every node has at least `version` in force.
    async fn await_in_force(&self, version: units::Version) -> Result<(), Error> {
        let what = format!(
            "version {version} in force on {} nodes",
            self.mesh.nodes.len()
        );
        let mut waiting: Vec<_> = (0..self.mesh.nodes.len()).collect();
        Mesh::await_condition(&what, IN_FORCE_LIMIT, async || {
            waiting.retain(|index| !self.holds(*index, version));
            waiting.is_empty()
        })
        .await
    }

    fn holds(&self, index: usize, version: units::Version) -> bool {
        let history = self.history(index);
        let since = history.starts.last().copied().unwrap_or_default();
        history.in_force(version, since).is_some()
    }

    fn history(&self, index: usize) -> History {
        let process = self.mesh.nodes[index].as_ref();
        process.map(History::read).unwrap_or_default()
    }

    fn histories(&self) -> Vec<History> {
        (0..self.mesh.nodes.len())
            .map(|index| self.history(index))
            .collect()
    }
}
