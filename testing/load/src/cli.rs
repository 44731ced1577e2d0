//! Command line.

use std::fmt;
use std::process;

use clap::{Arg, ArgMatches, Command};
use futures_util::future;

use crate::options::Options;
use crate::requests::{Selection, Variant};
use crate::{convergence, demo, moves, requests, soak};

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("radishgap-load")
        .about("Runs a mesh of real processes on loopback and measures it")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("demo").about("Runs the whole path once and says what it sees"))
        .subcommand(requests_command())
        .subcommand(convergence_command())
        .subcommand(moves_command())
        .subcommand(soak_command())
}

fn requests_command() -> Command {
    let phases = Arg::new("phases")
        .long("phases")
        .value_name("NAMES")
        .value_delimiter(',')
        .help("Only these phases: latency, frozen, overload, outage, drain, mixed");
    let variants = Arg::new("variants")
        .long("variants")
        .value_name("NAMES")
        .value_delimiter(',')
        .default_value("ours,baseline")
        .value_parser(clap::value_parser!(Variant))
        .help("What is measured");
    Options::add(Command::new("requests"))
        .about("Measures requests under failure, for ours and for the baseline")
        .arg(phases)
        .arg(variants)
}

fn convergence_command() -> Command {
    let command = Options::add(Command::new("convergence"))
        .about("Measures the time until a change is in force everywhere, and what it costs");
    convergence::Selection::add(command)
}

fn moves_command() -> Command {
    let command = Options::add(Command::new("moves"))
        .about("Moves services to good and bad versions under faults, and counts how that ends");
    moves::Selection::add(command)
}

fn soak_command() -> Command {
    let command = Options::add(Command::new("soak"))
        .about("Runs everything at once under faults, and ends with a line for each promise");
    soak::Selection::add(command)
}

fn selection(matches: &ArgMatches) -> Selection {
    let phases = matches.get_many("phases");
    let variants = matches.get_many("variants");
    Selection {
        phases: phases.map_or_else(Vec::new, |all| all.cloned().collect()),
        variants: variants.map_or_else(Vec::new, |all| all.copied().collect()),
    }
}

/// Runs `work` until it ends or the process is asked to stop; dropping it ends its processes.
async fn until_terminated<E: fmt::Display>(
    work: impl Future<Output = Result<(), E>>,
) -> Result<(), String> {
    let work = std::pin::pin!(work);
    let terminated = std::pin::pin!(program::terminated());
    match future::select(work, terminated).await {
        future::Either::Left((ended, _)) => ended.map_err(|error| error.to_string()),
        future::Either::Right(_) => Err("stopped by a signal".to_owned()),
    }
}

/// Runs the command of the command line.
#[must_use]
pub fn run() -> process::ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("demo", _)) => program::run(until_terminated(demo::run())),
        Some(("requests", matches)) => {
            let (options, selection) = (Options::read(matches), selection(matches));
            program::run(until_terminated(requests::run(&options, &selection)))
        }
        Some(("convergence", matches)) => {
            let options = Options::read(matches);
            let selection = convergence::Selection::read(matches);
            program::run(until_terminated(convergence::run(&options, &selection)))
        }
        Some(("moves", matches)) => {
            let options = Options::read(matches);
            let selection = moves::Selection::read(matches);
            program::run(until_terminated(moves::run(&options, &selection)))
        }
        Some(("soak", matches)) => {
            let options = Options::read(matches);
            let selection = soak::Selection::read(matches);
            program::run(until_terminated(soak::run(&options, &selection)))
        }
        _ => process::ExitCode::from(program::USAGE),
    }
}
