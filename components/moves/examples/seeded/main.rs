//! Seeded moves on the decision code, with a small model of traffic in place of the mesh.
//!
//! `cargo run --release -p moves --example seeded -- [MOVES] [SEED]` runs the same moves with the
//! sequential tests and with both baselines, and prints a table and one JSON document.

mod outcome;
mod simulation;
mod version;
mod world;

use std::env;

use moves::Analysis;
use outcome::Summary;
use version::Version;

fn main() {
    let mut arguments = env::args().skip(1);
    let mut number = |default: u64| {
        let argument = arguments.next();
        argument
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (moves, seed) = (number(200), number(1));
    let all = [
        Analysis::Sequential,
        Analysis::Threshold,
        Analysis::Schedule,
    ];
    let summaries = all.map(|analysis| run(analysis, moves, seed));
    println!("{}", Summary::header());
    for summary in &summaries {
        println!("{summary}");
    }
    println!("{}", serde_json::to_string(&summaries).unwrap_or_default());
}

/// Runs `moves` moves, every second one of a good version.
fn run(analysis: Analysis, moves: u64, seed: u64) -> Summary {
    let mut summary = Summary::new(analysis);
    for index in 0..moves {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(index);
        let version = if index % 2 == 0 {
            Version::Good
        } else {
            Version::bad(index / 2)
        };
        summary.add(version, &simulation::run(analysis, version, seed));
    }
    summary
}
