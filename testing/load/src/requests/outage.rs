//! Every backend server fails every request: how much the retries multiply the work.

use radishgap_backend::{Bad, Effect, Faults, Onset};

use super::{Bench, Phase, Variant};
use crate::failure::Failure;
use crate::judge::Verdict;
use crate::plan::Mix;

/// Calls a second.
const RATE: f64 = 200.0;
/// Length of the phase.
const LENGTH: units::Period = units::Period::from_secs(8);
/// Deadline of the route.
const TIMEOUT: units::Period = units::Period::from_secs(2);

pub(super) async fn run(variant: Variant, seed: u64) -> Result<Phase, Failure> {
    let shape = Bench::shape(variant, seed)?;
    let mut bench = Bench::start(shape, TIMEOUT).await?;
    let earlier = bench.mesh.events()?.len();
    bench.set_faults(&failing()).await;
    let mix = Mix::reads("outage", RATE, LENGTH, Bench::HOST, Bench::PATH);
    let calls = bench.callers().run(mix.plan(seed)).await;
    let mut phase = Phase::new("outage", variant);
    phase.count(&calls);
    let verdict = Verdict::new(&calls, &bench.mesh.events()?[earlier..]);
    phase.add("executions a call", verdict.amplification());
    phase.verdict = Some(verdict);
    Ok(phase)
}

fn failing() -> Faults {
    Faults {
        bad: Some(Bad {
            effect: Effect::Fail,
            onset: Onset::AtOnce,
            after: units::Period::default(),
            above: units::Share::NONE,
            on_route: None,
            share: units::Share::WHOLE,
            slow_by: units::Period::default(),
        }),
        ..Faults::default()
    }
}
