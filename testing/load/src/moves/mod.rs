//! Moves of good and bad versions under faults: which end done, which taken back, and what callers
//! saw meanwhile, for ours and for the baselines.

mod case;
mod figures;
mod observe;
mod round;
mod variant;

use clap::{Arg, ArgMatches, Command, value_parser};

pub use case::{Badness, Case, cases};
pub use figures::{Ended, Summary};
pub use observe::{Observed, Sample, watch};
pub use variant::Variant;

use crate::failure::Failure;
use crate::options::Options;
use crate::report::{Line, Plot, Report};

/// What is measured.
#[derive(Debug, Clone)]
pub struct Selection {
    /// Number of moves.
    pub moves: usize,
    /// Variants.
    pub variants: Vec<Variant>,
    /// Time from the start of a move to its deadline.
    pub deadline: units::Period,
    /// Calls a second to each service.
    pub rate: units::Rate,
    /// Whether runners are killed and frozen and the platform fails.
    pub faults: bool,
}

impl Selection {
    /// Adds the options to a command.
    #[must_use]
    pub fn add(command: Command) -> Command {
        command
            .arg(
                Arg::new("moves")
                    .long("moves")
                    .default_value("40")
                    .value_parser(value_parser!(usize))
                    .help("Number of moves of each variant"),
            )
            .arg(
                Arg::new("variants")
                    .long("variants")
                    .default_value("ours,threshold,schedule")
                    .value_delimiter(',')
                    .value_parser(value_parser!(Variant))
                    .help("What is measured"),
            )
            .arg(
                Arg::new("deadline")
                    .long("deadline")
                    .default_value("90s")
                    .value_parser(value_parser!(units::Period))
                    .help("Time from the start of a move to its deadline"),
            )
            .arg(
                Arg::new("rate")
                    .long("rate")
                    .default_value("200/s")
                    .value_parser(value_parser!(units::Rate))
                    .help("Calls a second to each service"),
            )
            .arg(
                Arg::new("calm")
                    .long("calm")
                    .action(clap::ArgAction::SetTrue)
                    .help("Without kills, freezes and platform outages"),
            )
    }

    /// The options of a parsed command line.
    #[must_use]
    pub fn read(matches: &ArgMatches) -> Self {
        let variants = matches.get_many("variants");
        Self {
            moves: matches.get_one("moves").copied().unwrap_or_default(),
            variants: variants.map_or_else(Vec::new, |all| all.copied().collect()),
            deadline: matches.get_one("deadline").copied().unwrap_or_default(),
            rate: matches.get_one("rate").copied().unwrap_or_default(),
            faults: !matches.get_flag("calm"),
        }
    }
}

/// Runs the experiment, prints its figures and saves the report.
///
/// # Errors
/// See [`Failure`]; violations of ours are one, those of the baselines are not.
pub async fn run(options: &Options, selection: &Selection) -> Result<(), Failure> {
    let mut summaries = Vec::new();
    for variant in &selection.variants {
        println!("{variant}, {} moves ...", selection.moves);
        let ended = round::run_all(*variant, selection, options.seed).await?;
        let summary = Summary::new(*variant, ended);
        println!("{summary}");
        summaries.push(summary);
    }
    let ours = summaries.iter().filter(|one| one.variant == Variant::Ours);
    let violations = ours.map(|one| one.violations).sum();
    let plots: Vec<_> = summaries
        .iter()
        .map(|one| (format!("moves-{}", one.variant), plot(one)))
        .collect();
    let plots: Vec<_> = plots
        .iter()
        .map(|(name, plot)| (name.as_str(), plot.clone()))
        .collect();
    let origin = options.origin.clone();
    let report = Report {
        origin,
        figures: summaries,
    };
    report.save(&options.out, "moves", &plots)?;
    println!("report: {}", options.out.join("moves.json").display());
    match violations {
        0 => Ok(()),
        count => Err(Failure::Violations(count)),
    }
}

/// Share of the new version over time, a line a move.
fn plot(summary: &Summary) -> Plot {
    let lines = summary.moves.iter().map(|one| Line {
        name: one.case.to_string(),
        points: one.samples.iter().map(Sample::point).collect(),
    });
    Plot {
        title: format!("share of the new version, {}", summary.variant),
        x: "time since the start of the move, s".to_owned(),
        y: "share, %".to_owned(),
        lines: lines.collect(),
    }
}
