//! Stand-in for the platform's object API.

use std::path;
use std::process;

use clap::{Arg, ArgAction, Command};
use compio::signal::unix;
use radishgap_platform::{Server, Settings};

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;
/// Signal number of SIGTERM on Linux.
const SIGTERM: i32 = 15;
/// Signal number of SIGINT on Linux.
const SIGINT: i32 = 2;

fn command() -> Command {
    Command::new("radishgap-platform")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-in for the platform's object API")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(clap::value_parser!(path::PathBuf))
                .required(true)
                .help("Settings in JSON"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    let Some(file) = matches.get_one::<path::PathBuf>("settings") else {
        return process::ExitCode::from(EXIT_USAGE);
    };
    let settings: Settings = match settings::load(file) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{}", report.current_context());
            return process::ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.get_flag("check") {
        return process::ExitCode::SUCCESS;
    }
    telemetry::start_logs("radishgap-platform", settings.log_level);
    run(settings)
}

#[compio::main]
async fn run(settings: Settings) -> process::ExitCode {
    let server = match Server::bind(settings).await {
        Ok(server) => server,
        Err(error) => {
            log::error!(error:% = error; "cannot start");
            return process::ExitCode::from(EXIT_FAILURE);
        }
    };
    if let Ok(address) = server.address() {
        log::info!(listen:% = address; "platform serves");
    }
    let (trigger, stop) = kernel::stop();
    let serving = compio::runtime::spawn(server.run(stop));
    let term = std::pin::pin!(unix::signal(SIGTERM));
    let interrupt = std::pin::pin!(unix::signal(SIGINT));
    futures_util::future::select(term, interrupt).await;
    trigger.fire();
    let ended = serving.await;
    if ended.is_err() {
        return process::ExitCode::from(EXIT_FAILURE);
    }
    process::ExitCode::SUCCESS
}
