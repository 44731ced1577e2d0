//! Simulation of seeded moves: runs the decision code on a small model of traffic.
//!
//! `cargo run --release -p moves --example seeded -- [MOVES] [SEED] [SECONDS] [SCALE]` runs the same
//! moves with the sequential tests and with both baselines, and prints a table and one JSON
//! document. Without SECONDS or SCALE, each move draws its duration or the scale of its traffic.

mod outcome;
mod simulation;
mod traffic;
mod version;

use std::env;
use std::time;

use moves::Analysis;
use outcome::Summary;
use simulation::Setup;
use version::Version;

fn main() {
    let argument = |position: usize| env::args().nth(position);
    let number = |position: usize| argument(position).and_then(|text| text.parse().ok());
    let (moves, seed) = (number(1).unwrap_or(200), number(2).unwrap_or(1));
    let setup = |analysis| Setup {
        analysis,
        duration: number(3).map(time::Duration::from_secs),
        scale: argument(4).and_then(|text| text.parse().ok()),
    };
    let all = [
        Analysis::Sequential,
        Analysis::Threshold,
        Analysis::Schedule,
    ];
    let summaries = all.map(|analysis| run(setup(analysis), moves, seed));
    println!("{}", Summary::header());
    for summary in &summaries {
        println!("{summary}");
    }
    println!("{}", serde_json::to_string(&summaries).unwrap_or_default());
}

/// Runs `moves` moves, half of them of good versions.
fn run(setup: Setup, moves: u64, seed: u64) -> Summary {
    let mut summary = Summary::new(setup.analysis);
    for index in 0..moves {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(index);
        let version = if index % 2 == 0 {
            Version::Good
        } else {
            Version::bad(index / 2)
        };
        summary.add(version, &simulation::run(setup, version, seed));
    }
    summary
}
