//! Long randomised run: a mesh shaped like a region of the users, callers, operators, moves, and
//! faults drawn from the seed; it ends with a line for each promise.

mod gather;
mod operators;
mod points;
mod region;
mod run;
mod schedule;

use std::time;

use clap::{Arg, ArgMatches, Command, value_parser};

pub use gather::Gathered;
pub use operators::Race;
pub use points::{Point, Standing};
pub use region::Region;
pub use run::Summary;
pub use schedule::schedule;

use crate::failure::Failure;
use crate::options::Options;
use crate::report::Report;

/// What is run.
#[derive(Debug, Clone, Copy)]
pub struct Selection {
    /// Length in minutes.
    pub minutes: f64,
    /// Shape of the mesh.
    pub region: Region,
}

impl Selection {
    /// Seconds in a minute.
    const MINUTE_S: f64 = 60.0;
    /// Shortest run, in which every kind of fault has its place.
    const SHORTEST: time::Duration = time::Duration::from_secs(24);
    /// Longest run.
    const LONGEST: time::Duration = time::Duration::from_secs(24 * 60 * 60);

    /// Adds the options to a command.
    #[must_use]
    pub fn add(command: Command) -> Command {
        command
            .arg(
                Arg::new("minutes")
                    .long("minutes")
                    .default_value("5")
                    .value_parser(value_parser!(f64))
                    .help("Length in minutes; 0.4 at least"),
            )
            .arg(
                Arg::new("shape")
                    .long("shape")
                    .default_value("fiji-west")
                    .value_parser(value_parser!(Region))
                    .help("Region that the mesh is shaped like: fiji-west or qc-east"),
            )
    }

    /// The options of a parsed command line.
    #[must_use]
    pub fn read(matches: &ArgMatches) -> Self {
        let region = matches.get_one("shape").copied();
        Self {
            minutes: matches.get_one("minutes").copied().unwrap_or_default(),
            region: region.unwrap_or(Region::FijiWest),
        }
    }

    /// The length.
    #[must_use]
    pub fn length(&self) -> units::Period {
        let seconds = self.minutes * Self::MINUTE_S;
        let longest = Self::LONGEST.as_secs_f64();
        let length = time::Duration::from_secs_f64(seconds.clamp(0.0, longest));
        units::Period(length.max(Self::SHORTEST))
    }
}

/// Runs the soak, prints a line for each promise and saves the report.
///
/// # Errors
/// See [`Failure`]; a violated promise is one.
pub async fn run(options: &Options, selection: &Selection) -> Result<(), Failure> {
    println!(
        "{}, {}, seed {}",
        selection.region,
        selection.length(),
        options.seed
    );
    let outcome = run::run(selection, options.seed).await?;
    for point in &outcome.points {
        println!("{point}");
    }
    let violated = outcome.points.iter();
    let violated = violated.filter(|point| point.standing == Standing::Violated);
    let violated = violated.count() as u64;
    let name = format!("soak-{}-{}", selection.region, options.seed);
    let origin = options.origin.clone();
    let report = Report {
        origin,
        figures: outcome,
    };
    report.save(&options.out, &name, &[])?;
    println!("report: {}/{name}.json", options.out.display());
    match violated {
        0 => Ok(()),
        count => Err(Failure::Violations(count)),
    }
}
