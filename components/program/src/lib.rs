//! What every program that runs from a settings file has in common: its command line, exit codes
//! and signals.

use std::io;
use std::path;
use std::process;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use futures_util::future;
use settings::Document;

/// Exit code after a failure at run time.
pub const FAILURE: u8 = 1;
/// Exit code for wrong usage or wrong settings.
pub const USAGE: u8 = 2;

/// The command line of the program `name`: `--settings FILE` and `--check`.
#[must_use]
pub fn command(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings file in JSON")
        .required(true)
        .value_parser(value_parser!(path::PathBuf));
    let check = Arg::new("check")
        .long("check")
        .help("Check the settings, report everything that is wrong, and start nothing")
        .action(ArgAction::SetTrue);
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings)
        .arg(check)
}

/// Loads the settings that the command line names.
///
/// # Errors
/// The code to exit with: success after `--check` of right settings, [`USAGE`] for wrong ones.
pub fn load<T: Document>(command: Command) -> Result<T, process::ExitCode> {
    load_matched(&command.get_matches())
}

/// Loads the settings that the parsed command line names.
///
/// # Errors
/// As of [`load`].
pub fn load_matched<T: Document>(matches: &ArgMatches) -> Result<T, process::ExitCode> {
    let file = matches.get_one::<path::PathBuf>("settings");
    let file = file.cloned().unwrap_or_default();
    match settings::load::<T>(&file) {
        Ok(_) if matches.get_flag("check") => {
            println!("{}: the settings are right", file.display());
            Err(process::ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(report) => {
            eprintln!("{}", report.current_context());
            Err(process::ExitCode::from(USAGE))
        }
    }
}

/// Runs `work` on the runtime of this thread and turns its end into an exit code.
pub fn run<E: std::fmt::Display>(work: impl Future<Output = Result<(), E>>) -> process::ExitCode {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime cannot start: {error}");
            return process::ExitCode::from(FAILURE);
        }
    };
    let ended = runtime.block_on(work);
    log::logger().flush();
    match ended {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(FAILURE)
        }
    }
}

/// Waits until the process is asked to stop by SIGTERM or SIGINT.
///
/// # Errors
/// The error of the operating system when signals cannot be received.
pub async fn terminated() -> io::Result<()> {
    let terminate = std::pin::pin!(compio::signal::unix::signal(libc::SIGTERM));
    let interrupt = std::pin::pin!(compio::signal::unix::signal(libc::SIGINT));
    match future::select(terminate, interrupt).await {
        future::Either::Left((received, _)) | future::Either::Right((received, _)) => received,
    }
}
