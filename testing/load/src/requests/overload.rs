//! Twice as many calls as the backend servers can run.

use radishgap_backend::{Distribution, ServiceTime};

use super::figures::is_answered;
use super::{Bench, Phase, Variant};
use crate::driver::Done;
use crate::failure::Failure;
use crate::judge::Verdict;
use crate::plan::Mix;

/// Slots of each backend server.
const SLOTS: u32 = 10;
/// Mean time of a request.
const MEAN: units::Period = units::Period::from_millis(50);
/// Length of each try.
const LENGTH: units::Period = units::Period::from_secs(8);
/// Deadline of the route.
const TIMEOUT: units::Period = units::Period::from_millis(1_000);
/// Parts of the nominal capacity that are tried; the last is the overload.
const PARTS: [(&str, f64); 5] = [
    ("goodput at 80%, calls/s", 0.8),
    ("goodput at 90%, calls/s", 0.9),
    ("goodput at 100%, calls/s", 1.0),
    ("goodput at 110%, calls/s", 1.1),
    ("goodput at 200%, calls/s", 2.0),
];

pub(super) async fn run(variant: Variant, seed: u64) -> Result<Phase, Failure> {
    let mut shape = Bench::shape(variant, seed)?;
    shape.slots = SLOTS;
    shape.service_time = ServiceTime {
        distribution: Distribution::Exponential,
        mean: MEAN,
    };
    let bench = Bench::start(shape, TIMEOUT).await?;
    let mut phase = Phase::new("overload", variant);
    let capacity = f64::from(SLOTS) * Bench::BACKENDS as f64 / MEAN.0.as_secs_f64();
    phase.add("nominal capacity, calls/s", capacity);
    let (mut all, mut peak, mut last) = (Vec::new(), 0.0_f64, 0.0);
    for (number, (name, part)) in PARTS.into_iter().enumerate() {
        let mix = Mix {
            patience: TIMEOUT,
            ..Mix::reads(
                &format!("overload-{number}"),
                capacity * part,
                LENGTH,
                Bench::HOST,
                Bench::PATH,
            )
        };
        let calls = bench.callers().run(mix.plan(seed)).await;
        last = goodput(&calls);
        peak = peak.max(last);
        phase.add(name, last);
        all.extend(calls);
    }
    phase.add("goodput at 200% against the peak", last / peak.max(1.0));
    phase.count(&all);
    phase.add_latency("through the mesh, all rates", &all);
    phase.verdict = Some(Verdict::new(&all, &bench.mesh.events()?));
    Ok(phase)
}

/// Calls answered within their deadline, a second.
fn goodput(calls: &[Done]) -> f64 {
    let in_time = |done: &&Done| is_answered(done) && done.latency <= TIMEOUT.0;
    let count = calls.iter().filter(in_time).count();
    // Phases have far fewer calls than 2^52.
    #[allow(clippy::cast_precision_loss)]
    let rate = count as f64 / LENGTH.0.as_secs_f64();
    rate
}
