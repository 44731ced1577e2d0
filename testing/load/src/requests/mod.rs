//! Requests under failure: latency added by the mesh, and what callers were promised, for ours and
//! for the baseline.

mod bench;
mod drain;
mod figures;
mod frozen;
mod latency;
mod mixed;
mod outage;
mod overload;

use compact_str::{CompactString, ToCompactString};

pub use crate::variant::Variant;
pub use bench::Bench;
pub use figures::{Latency, Phase};

use crate::failure::Failure;
use crate::options::Options;
use crate::report::{Line, Plot, Report};

/// All phases of the experiment.
const PHASES: [&str; 6] = ["latency", "frozen", "overload", "outage", "drain", "mixed"];

/// Which phases run, for which variants.
#[derive(Debug, Clone)]
pub struct Selection {
    /// Names of phases; all where it is empty.
    pub phases: Vec<String>,
    /// Variants.
    pub variants: Vec<Variant>,
}

/// Runs the experiment, prints its figures and saves the report.
///
/// # Errors
/// See [`Failure`]; violations of ours are one, those of the baseline are not.
pub async fn run(options: &Options, selection: &Selection) -> Result<(), Failure> {
    let mut phases = Vec::new();
    for variant in &selection.variants {
        for name in PHASES {
            let wanted = selection.phases.iter().any(|phase| phase == name);
            if selection.phases.is_empty() || wanted {
                println!("{variant}, {name} ...");
                let phase = one(name, *variant, options.seed).await?;
                println!("{phase}");
                phases.push(phase);
            }
        }
    }
    let plots = plots(&phases);
    let plots: Vec<_> = plots
        .iter()
        .map(|(name, plot)| (name.as_str(), plot.clone()))
        .collect();
    let violations = violations(&phases);
    let origin = options.origin.clone();
    let report = Report {
        origin,
        figures: phases,
    };
    report.save(&options.out, "requests", &plots)?;
    println!("report: {}", options.out.join("requests.json").display());
    match violations {
        0 => Ok(()),
        count => Err(Failure::Violations(count)),
    }
}

async fn one(name: &str, variant: Variant, seed: u64) -> Result<Phase, Failure> {
    match name {
        "latency" => latency::run(variant, seed).await,
        "frozen" => frozen::run(variant, seed).await,
        "overload" => overload::run(variant, seed).await,
        "outage" => outage::run(variant, seed).await,
        "drain" => drain::run(variant, seed).await,
        _ => mixed::run(variant, seed).await,
    }
}

/// Violations of ours.
fn violations(phases: &[Phase]) -> u64 {
    let ours = phases.iter().filter(|phase| phase.variant == Variant::Ours);
    ours.map(Phase::violations).sum()
}

/// One plot of latencies a phase, with a line a variant.
fn plots(phases: &[Phase]) -> Vec<(CompactString, Plot)> {
    let mut plots: Vec<(CompactString, Plot)> = Vec::new();
    for phase in phases {
        let name: CompactString = format!("requests-{}", phase.name).into();
        let lines = phase.lines.iter().map(|(name, points)| Line {
            name: format!("{}, {name}", phase.variant),
            points: points.clone(),
        });
        match plots.iter_mut().find(|(one, _)| *one == name) {
            Some((_, plot)) => plot.lines.extend(lines),
            None => {
                let plot = Plot {
                    title: format!("requests, {}", phase.name),
                    x: "latency from the scheduled time, ms".to_owned(),
                    y: "share of the calls".to_owned(),
                    lines: lines.collect(),
                };
                plots.push((name.to_compact_string(), plot));
            }
        }
    }
    plots
}
