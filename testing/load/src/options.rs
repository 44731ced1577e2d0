//! Options that all experiments share.

use std::path;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::report::Origin;

/// Seed and folder of an experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of every schedule.
    pub seed: u64,
    /// Folder for the report and the plots.
    pub out: path::PathBuf,
    /// Where the figures come from, as of the start of the process.
    pub origin: Origin,
}

impl Options {
    /// Adds the options to a command.
    #[must_use]
    pub fn add(command: Command) -> Command {
        let seed = Arg::new("seed")
            .long("seed")
            .value_name("N")
            .default_value("1")
            .value_parser(value_parser!(u64))
            .help("Seed of every schedule");
        let out = Arg::new("out")
            .long("out")
            .value_name("FOLDER")
            .default_value("target/reports")
            .value_parser(value_parser!(path::PathBuf))
            .help("Folder for the report in JSON and the plots in SVG");
        command.arg(seed).arg(out)
    }

    /// The options of a parsed command line.
    #[must_use]
    pub fn read(matches: &ArgMatches) -> Self {
        let seed = matches.get_one("seed").copied().unwrap_or_default();
        let out: Option<&path::PathBuf> = matches.get_one("out");
        Self {
            seed,
            out: out.cloned().unwrap_or_default(),
            origin: Origin::new(seed),
        }
    }
}
