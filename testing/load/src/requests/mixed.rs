//! Kills, freezes, silent connections, drains and crash requests together, by seed.

use radishgap_backend::{Distribution, ServiceTime};

use super::figures::answered_share;
use super::{Bench, Phase, Variant};
use crate::driver::Driver;
use crate::failure::Failure;
use crate::faults::{Action, Draw, strike};
use crate::judge::Verdict;
use crate::plan::Mix;

/// Calls a second.
const RATE: f64 = 300.0;
/// Length of the phase.
const LENGTH: units::Period = units::Period::from_secs(40);
/// Attempts of a caller.
const ATTEMPTS: u32 = 4;
/// Requests that crash the backend server that runs them.
const CRASHES: usize = 2;
/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 48 * 1024;
/// Deadline of the route.
const TIMEOUT: units::Period = units::Period::from_secs(2);

pub(super) async fn run(variant: Variant, seed: u64) -> Result<Phase, Failure> {
    let mut shape = Bench::shape(variant, seed)?;
    shape.service_time = ServiceTime {
        distribution: Distribution::Exponential,
        mean: units::Period::from_millis(10),
    };
    shape.relayed = Some(units::Period::default());
    let mut bench = Bench::start(shape, TIMEOUT).await?;
    let schedule = draw().schedule(seed);
    let callers = Driver {
        attempts: ATTEMPTS,
        ..bench.callers()
    };
    let calls = callers.run(mix().plan(seed));
    let (calls, struck) = futures_util::join!(calls, strike(&mut bench.mesh, &schedule, LENGTH));
    let mut phase = Phase::new("mixed", variant);
    phase.struck = Some(struck?);
    phase.schedule = schedule;
    phase.count(&calls);
    phase.add("answered share", answered_share(&calls));
    phase.add_latency("through the mesh, resends included", &calls);
    let verdict = Verdict::new(&calls, &bench.mesh.events()?);
    phase.add("executions a call", verdict.amplification());
    phase.verdict = Some(verdict);
    Ok(phase)
}

fn mix() -> Mix {
    Mix {
        posts: units::Share::from_parts(5_000).unwrap_or_default(),
        keyed: units::Share::from_parts(5_000).unwrap_or_default(),
        answer_bytes: ANSWER_BYTES,
        crashes: CRASHES,
        patience: units::Period(TIMEOUT.0 * 2),
        ..Mix::reads("mixed", RATE, LENGTH, Bench::HOST, Bench::PATH)
    }
}

/// The schedule of faults; at most one at a time strikes a site.
fn draw() -> Draw {
    Draw {
        length: LENGTH,
        every: units::Period::from_millis(1_500),
        lasting: (units::Period::from_secs(1), units::Period::from_secs(5)),
        sites: Bench::sites().collect(),
        actions: vec![
            Action::KillBackend,
            Action::KillNode,
            Action::KillVm,
            Action::FreezeBackend,
            Action::FreezeNode,
            Action::Silence,
            Action::Drain,
        ],
    }
}
