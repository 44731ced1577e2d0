//! Latency that the mesh adds at half of its saturation, over calls straight to the backend servers.

use std::time;

use radishgap_backend::ServiceTime;

use super::figures::{answered_share, latencies};
use super::{Bench, Phase, Variant};
use crate::driver::{Done, Driver};
use crate::failure::Failure;
use crate::plan::Mix;
use crate::report::Quantiles;

/// First rate that is tried, in calls a second.
const FIRST_RATE: f64 = 500.0;
/// Factor from one rate to the next.
const GROWTH: f64 = 1.5;
/// Most rates that are tried.
const MOST_RATES: u32 = 14;
/// Length of each try.
const TRY: units::Period = units::Period::from_secs(2);
/// Tries of a rate before it counts as past saturation, since the machine may be disturbed.
const TRIES: u32 = 2;
/// Length of each measurement.
const MEASURE: units::Period = units::Period::from_secs(4);
/// Measurements of either kind, in turn, so that both see the same disturbances.
const ROUNDS: u32 = 3;
/// Latency of 99 in 100 calls above which a rate is past saturation.
const SATURATED_P99_MS: f64 = 50.0;
/// Share of the calls that have to be answered below saturation.
const SATURATED_SHARE: f64 = 0.99;
/// Deadline of the route.
const TIMEOUT: units::Period = units::Period::from_secs(2);
/// Slots of each backend server, more than the phase uses.
const SLOTS: u32 = 400;

pub(super) async fn run(variant: Variant, seed: u64) -> Result<Phase, Failure> {
    let mut shape = Bench::shape(variant, seed)?;
    shape.slots = SLOTS;
    shape.connections = 1_000;
    shape.service_time = ServiceTime {
        mean: units::Period::from_millis(1),
        ..ServiceTime::default()
    };
    let bench = Bench::start(shape, TIMEOUT).await?;
    let saturation = saturate(&bench, seed).await;
    let rate = saturation / 2.0;
    let mut phase = Phase::new("latency", variant);
    let (mut direct, mut meshed) = (Vec::new(), Vec::new());
    let (mut cpu, mut elapsed) = (0.0, 0.0);
    for round in 0..ROUNDS {
        let straight = Driver::new(bench.backends());
        let name = format!("direct-{round}");
        direct.extend(drive(&straight, &name, rate, MEASURE, seed).await);
        let (before, started) = (bench.node_cpu(), time::Instant::now());
        let name = format!("mesh-{round}");
        meshed.extend(drive(&bench.callers(), &name, rate, MEASURE, seed).await);
        cpu += bench.node_cpu() - before;
        elapsed += started.elapsed().as_secs_f64();
    }
    let cores = cpu / elapsed;
    let direct = phase.add_latency("direct", &direct);
    phase.count(&meshed);
    let answered = answered_share(&meshed);
    let meshed = phase.add_latency("through the mesh", &meshed);
    phase.add("saturation, calls/s", saturation);
    phase.add("measured at, calls/s", rate);
    add_difference(&mut phase, direct, meshed);
    phase.add(
        "calls/s a core of the nodes",
        rate / cores.max(f64::EPSILON),
    );
    phase.add("answered share", answered);
    Ok(phase)
}

fn add_difference(phase: &mut Phase, direct: Quantiles, meshed: Quantiles) {
    phase.add("added p50, ms", meshed.p50_ms - direct.p50_ms);
    phase.add("added p99, ms", meshed.p99_ms - direct.p99_ms);
    phase.add("added p99.9, ms", meshed.p999_ms - direct.p999_ms);
}

async fn drive(
    driver: &Driver,
    name: &str,
    rate: f64,
    length: units::Period,
    seed: u64,
) -> Vec<Done> {
    let mix = Mix::reads(name, rate, length, Bench::HOST, Bench::PATH);
    driver.run(mix.plan(seed)).await
}

/// The highest rate that the mesh carries, in calls a second.
async fn saturate(bench: &Bench, seed: u64) -> f64 {
    let mut carried = FIRST_RATE;
    let mut rate = FIRST_RATE;
    for number in 0..MOST_RATES {
        if !carries(bench, number, rate, seed).await {
            break;
        }
        carried = rate;
        rate *= GROWTH;
    }
    carried
}

/// Whether the mesh carries `rate` calls a second.
async fn carries(bench: &Bench, number: u32, rate: f64, seed: u64) -> bool {
    for attempt in 0..TRIES {
        let name = format!("ramp-{number}-{attempt}");
        let calls = drive(&bench.callers(), &name, rate, TRY, seed).await;
        let late = latencies(&calls).quantiles().p99_ms > SATURATED_P99_MS;
        if !late && answered_share(&calls) >= SATURATED_SHARE {
            return true;
        }
    }
    false
}
