//! A backend server leaves and a node is stopped, both as planned and under load.

use std::time;

use radishgap_backend::ServiceTime;

use super::figures::answered_share;
use super::{Bench, Phase, Variant};
use crate::failure::Failure;
use crate::faults::Struck;
use crate::judge::Verdict;
use crate::plan::Mix;

/// Calls a second.
const RATE: f64 = 400.0;
/// Length of the phase.
const LENGTH: units::Period = units::Period::from_secs(14);
/// When the backend server is asked to leave.
const LEAVE_AT: time::Duration = time::Duration::from_secs(3);
/// When an ingress node is asked to stop.
const STOP_AT: time::Duration = time::Duration::from_secs(8);
/// Deadline of the route.
const TIMEOUT: units::Period = units::Period::from_secs(2);

pub(super) async fn run(variant: Variant, seed: u64) -> Result<Phase, Failure> {
    let mut shape = Bench::shape(variant, seed)?;
    shape.service_time = ServiceTime {
        mean: units::Period::from_millis(20),
        ..ServiceTime::default()
    };
    let mut bench = Bench::start(shape, TIMEOUT).await?;
    let mix = Mix {
        posts: units::Share::from_parts(5_000).unwrap_or_default(),
        ..Mix::reads("drain", RATE, LENGTH, Bench::HOST, Bench::PATH)
    };
    let callers = bench.callers();
    let calls = callers.run(mix.plan(seed));
    let (calls, struck) = futures_util::join!(calls, stop(&mut bench));
    let mut phase = Phase::new("drain", variant);
    phase.count(&calls);
    phase.add("answered share", answered_share(&calls));
    phase.add_latency("through the mesh", &calls);
    phase.verdict = Some(Verdict::new(&calls, &bench.mesh.events()?));
    phase.struck = Some(struck);
    Ok(phase)
}

/// Stops one backend server and then one ingress node; gives what was not graceful.
async fn stop(bench: &mut Bench) -> Struck {
    let started = time::Instant::now();
    let mut struck = Struck::default();
    let mesh = &mut bench.mesh;
    let stops = [
        (LEAVE_AT, &mut mesh.backends[Bench::INGRESSES]),
        (STOP_AT, &mut mesh.nodes[Bench::INGRESSES - 1]),
    ];
    for (at, process) in stops {
        compio::time::sleep_until(started + at).await;
        let Some(process) = process else { continue };
        match process.stop().await {
            Ok(status) if status.success() => {}
            Ok(status) => {
                let problem = format!("{} stopped with {status}", process.name());
                struck.bad_stops.push(problem);
            }
            Err(error) => struck.bad_stops.push(error.to_string()),
        }
    }
    struck
}
