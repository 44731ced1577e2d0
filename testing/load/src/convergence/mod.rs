//! Convergence: time from the acceptance of a change until it is in force on the last node, and
//! what that costs, for ours and for nodes that each watch the platform themselves.

mod changes;
mod costs;
mod figures;
mod history;
mod stage;

use std::time;

use clap::{Arg, ArgMatches, Command, value_parser};

pub use crate::variant::Variant;
pub use changes::{Change, Due, schedule};
pub use costs::{Calls, Costs, sum_all};
pub use figures::Stage;
pub use history::{Entry, Fall, History};

use crate::failure::Failure;
use crate::options::Options;
use crate::report::{Line, Plot, Report};

/// What is measured.
#[derive(Debug, Clone)]
pub struct Selection {
    /// Numbers of nodes.
    pub nodes: Vec<usize>,
    /// Variants.
    pub variants: Vec<Variant>,
    /// Changes a second.
    pub rate: units::Rate,
    /// Length of each stage.
    pub length: units::Period,
    /// Services and routes that the configuration holds.
    pub services: usize,
    /// Share of the nodes that is killed and started again throughout.
    pub churn: units::Share,
}

impl Selection {
    /// Adds the options to a command.
    #[must_use]
    pub fn add(command: Command) -> Command {
        let text = |name: &'static str, default: &'static str, help: &'static str| {
            Arg::new(name).long(name).default_value(default).help(help)
        };
        command
            .arg(
                text("nodes", "25,50,100,200", "Numbers of nodes")
                    .value_delimiter(',')
                    .value_parser(value_parser!(usize)),
            )
            .arg(
                text("variants", "ours,baseline", "What is measured")
                    .value_delimiter(',')
                    .value_parser(value_parser!(Variant)),
            )
            .arg(text("rate", "1/s", "Changes a second").value_parser(value_parser!(units::Rate)))
            .arg(
                text("length", "30s", "Length of each stage")
                    .value_parser(value_parser!(units::Period)),
            )
            .arg(
                text("services", "200", "Services in the configuration")
                    .value_parser(value_parser!(usize)),
            )
            .arg(
                text(
                    "churn",
                    "0%",
                    "Share of the nodes that is killed and started again",
                )
                .value_parser(value_parser!(units::Share)),
            )
    }

    /// The options of a parsed command line.
    #[must_use]
    pub fn read(matches: &ArgMatches) -> Self {
        let nodes = matches.get_many("nodes");
        let variants = matches.get_many("variants");
        let one = |name| matches.get_one::<usize>(name).copied();
        Self {
            nodes: nodes.map_or_else(Vec::new, |all| all.copied().collect()),
            variants: variants.map_or_else(Vec::new, |all| all.copied().collect()),
            rate: matches.get_one("rate").copied().unwrap_or_default(),
            length: matches.get_one("length").copied().unwrap_or_default(),
            services: one("services").unwrap_or_default(),
            churn: matches.get_one("churn").copied().unwrap_or_default(),
        }
    }
}

/// Runs the experiment, prints its figures and saves the report.
///
/// # Errors
/// See [`Failure`]; violations of ours are one, those of the baseline are not.
pub async fn run(options: &Options, selection: &Selection) -> Result<(), Failure> {
    let mut stages = Vec::new();
    for variant in &selection.variants {
        for nodes in &selection.nodes {
            println!("{variant}, {nodes} nodes ...");
            let started = time::Instant::now();
            let stage = stage::run(*variant, *nodes, selection, options.seed).await?;
            println!("{stage}  took {:.0} s", started.elapsed().as_secs_f64());
            stages.push(stage);
        }
    }
    let ours = stages.iter().filter(|one| one.variant == Variant::Ours);
    let violations = ours.map(|stage| stage.violations).sum();
    let plots = [
        ("convergence-time", time_plot(&stages)),
        ("convergence-bytes", bytes_plot(&stages)),
        ("convergence-calls", calls_plot(&stages)),
    ];
    let origin = options.origin.clone();
    let report = Report {
        origin,
        figures: stages,
    };
    report.save(&options.out, "convergence", &plots)?;
    println!("report: {}", options.out.join("convergence.json").display());
    match violations {
        0 => Ok(()),
        count => Err(Failure::Violations(count)),
    }
}

/// Name of a line, and what it shows of a stage.
type Value = (&'static str, fn(&Stage) -> f64);

fn plot(title: &str, y: &str, stages: &[Stage], values: &[Value]) -> Plot {
    let mut lines = Vec::new();
    for variant in [Variant::Ours, Variant::Baseline] {
        for (name, value) in values {
            let own = stages.iter().filter(|stage| stage.variant == variant);
            // A few hundred nodes.
            #[allow(clippy::cast_precision_loss)]
            let points: Vec<_> = own
                .map(|stage| (stage.nodes as f64, value(stage)))
                .collect();
            if !points.is_empty() {
                let name = format!("{variant}, {name}");
                lines.push(Line { name, points });
            }
        }
    }
    Plot {
        title: title.to_owned(),
        x: "nodes".to_owned(),
        y: y.to_owned(),
        lines,
    }
}

fn time_plot(stages: &[Stage]) -> Plot {
    plot(
        "from acceptance to in force on the last node",
        "ms",
        stages,
        &[
            ("p50", |stage| stage.last_node.p50_ms),
            ("p99", |stage| stage.last_node.p99_ms),
        ],
    )
}

fn bytes_plot(stages: &[Stage]) -> Plot {
    plot(
        "control bytes between nodes, sent and received",
        "bytes a node a second",
        stages,
        &[
            ("mean", |stage| stage.costs.bytes_mean),
            ("largest", |stage| stage.costs.bytes_largest),
        ],
    )
}

fn calls_plot(stages: &[Stage]) -> Plot {
    plot(
        "platform calls",
        "calls a change",
        stages,
        &[("all", |stage| stage.costs.platform_calls_a_change)],
    )
}
