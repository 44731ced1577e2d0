//! Stand-in for a backend server.

use std::io;
use std::path;
use std::process;

use clap::{Arg, ArgAction, Command, value_parser};
use radishgap_backend::{Announcer, Control, Duty, Server, Settings, State};
use schema::announce::Phase;

/// Exit code for wrong usage or settings.
const WRONG_SETTINGS: u8 = 2;

/// The listener for requests.
struct Requests;

impl radishgap_backend::Name for Requests {
    const NAME: &'static str = "requests";
}

/// The listener for control.
struct Controls;

impl radishgap_backend::Name for Controls {
    const NAME: &'static str = "control";
}

fn command() -> Command {
    Command::new("radishgap-backend")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-in for a backend server")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings in JSON")
                .value_parser(value_parser!(path::PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the settings"),
        )
}

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    let file = matches
        .get_one::<path::PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let settings: Settings = match settings::load(&file) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("radishgap-backend: {}", report.current_context());
            return process::ExitCode::from(WRONG_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        return process::ExitCode::SUCCESS;
    }
    telemetry::start_logs("radishgap-backend", settings.log_level);
    match start(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:% = error; "the process cannot go on");
            eprintln!("radishgap-backend: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn start(settings: Settings) -> io::Result<()> {
    compio::runtime::Runtime::new()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> io::Result<()> {
    let (state, changes) = State::new(settings)?;
    let settings = state.settings();
    let mut system = kernel::Kernel::new();
    let limits = web::Limits {
        connections: settings.connections as usize,
        ..web::Limits::default()
    };
    let listener = web::Server::bind(settings.listen, limits).await?;
    let address = listener.address()?;
    if let Some(control) = settings.control {
        let listener = web::Server::bind(control, web::Limits::default()).await?;
        system.start(Server::<_, Controls>::new(
            listener,
            Control::new(state.clone()),
        ));
    }
    if let Some(node) = settings.announce {
        system.start(Announcer::new(state.clone(), changes, node, address));
    }
    system.start(Server::<_, Requests>::new(
        listener,
        Duty::new(state.clone()),
    ));
    log::info!(address:% = address, service:% = settings.service, version = settings.version.as_str(); "listening");
    run(&state).await;
    system.close().await;
    log::info!("stopped");
    Ok(())
}

/// Passes through the phases until the drain is over.
async fn run(state: &State) {
    let settings = state.settings();
    let terminated = async {
        // Fails only where the process may not install a handler.
        let _ = compio::signal::unix::signal(SIGTERM).await;
    };
    let mut terminated = std::pin::pin!(terminated);
    let starting = std::pin::pin!(compio::time::sleep(settings.cold_start.starting.0));
    let first = futures_util::future::select(terminated.as_mut(), starting).await;
    if let futures_util::future::Either::Right(_) = first {
        state.enter(Phase::Ready);
        log::info!("ready");
        terminated.await;
    }
    state.enter(Phase::Draining);
    log::info!("draining");
    compio::time::sleep(settings.drain.0).await;
}

/// Number of the signal that asks a process to end.
const SIGTERM: i32 = 15;
