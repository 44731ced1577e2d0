//! Command line.

use std::process;

use clap::Command;

use crate::demo;

/// The whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("radishgap-load")
        .about("Runs a mesh of real processes on loopback and measures it")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("demo").about("Runs the whole path once and says what it sees"))
}

/// Runs the command of the command line.
#[must_use]
pub fn run() -> process::ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("demo", _)) => program::run(demo::run()),
        _ => process::ExitCode::from(program::USAGE),
    }
}
