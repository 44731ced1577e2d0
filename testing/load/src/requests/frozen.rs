//! One of five backend servers is frozen: its connections stay open and nothing answers.

use std::time;

use radishgap_backend::ServiceTime;

use super::figures::answered_share;
use super::{Bench, Phase, Variant};
use crate::failure::Failure;
use crate::fleet::Signal;
use crate::judge::Verdict;
use crate::plan::Mix;

/// Calls a second, well below what four backend servers carry.
const RATE: f64 = 400.0;
/// Length of the phase.
const LENGTH: units::Period = units::Period::from_secs(15);
/// When the backend server freezes.
const FREEZE_AT: time::Duration = time::Duration::from_secs(3);
/// When it goes on.
const THAW_AT: time::Duration = time::Duration::from_secs(13);
/// Deadline of the route.
const TIMEOUT: units::Period = units::Period::from_secs(2);

pub(super) async fn run(variant: Variant, seed: u64) -> Result<Phase, Failure> {
    let mut shape = Bench::shape(variant, seed)?;
    shape.service_time = ServiceTime {
        mean: units::Period::from_millis(5),
        ..ServiceTime::default()
    };
    let bench = Bench::start(shape, TIMEOUT).await?;
    let mix = Mix {
        patience: units::Period(TIMEOUT.0 + time::Duration::from_millis(200)),
        ..Mix::reads("frozen", RATE, LENGTH, Bench::HOST, Bench::PATH)
    };
    let callers = bench.callers();
    let calls = callers.run(mix.plan(seed));
    let (calls, ()) = futures_util::join!(calls, freeze(&bench));
    let mut phase = Phase::new("frozen", variant);
    phase.count(&calls);
    phase.add("answered in time, share", answered_share(&calls));
    phase.add_latency("through the mesh", &calls);
    let verdict = Verdict::new(&calls, &bench.mesh.events()?);
    phase.add("executions a call", verdict.amplification());
    phase.verdict = Some(verdict);
    Ok(phase)
}

async fn freeze(bench: &Bench) {
    let started = time::Instant::now();
    let Some(backend) = &bench.mesh.backends[Bench::INGRESSES] else {
        return;
    };
    compio::time::sleep_until(started + FREEZE_AT).await;
    backend.send(Signal::Stop);
    compio::time::sleep_until(started + THAW_AT).await;
    backend.send(Signal::Continue);
}
