//! Stand-in for a backend server.

use std::io;
use std::process;

use futures_util::future;
use radishgap_backend::{Announcer, Control, Duty, Server, Settings, State};
use schema::announce::Phase;

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

fn main() -> process::ExitCode {
    let command = program::command("radishgap-backend", "Stand-in for a backend server");
    let settings: Settings = match program::load(command) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    telemetry::start_logs("radishgap-backend", settings.log_level);
    program::run(serve(settings))
}

async fn serve(settings: Settings) -> io::Result<()> {
    let (state, changes) = State::new(settings)?;
    let settings = state.settings();
    let mut system = kernel::Kernel::new();
    let limits = web::Limits {
        connections: settings.connections as usize,
        clients: web::clients::Limits::NONE,
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
        let announced = settings.advertise.unwrap_or(address);
        system.start(Announcer::new(state.clone(), changes, node, announced));
    }
    system.start(Server::<_, Requests>::new(
        listener,
        Duty::new(state.clone()),
    ));
    log::info!(address:% = address, service:% = settings.service, version = settings.version.as_str(); "listening");
    run(&state).await?;
    system.close().await;
    log::info!("stopped");
    Ok(())
}

/// Passes through the phases until the drain is over.
async fn run(state: &State) -> io::Result<()> {
    let settings = state.settings();
    let mut terminated = std::pin::pin!(program::terminated());
    let starting = std::pin::pin!(compio::time::sleep(settings.cold_start.starting.0));
    match future::select(terminated.as_mut(), starting).await {
        future::Either::Left((received, _)) => received?,
        future::Either::Right(_) => {
            state.enter(Phase::Ready);
            log::info!("ready");
            terminated.await?;
        }
    }
    state.enter(Phase::Draining);
    log::info!("draining");
    compio::time::sleep(settings.drain.0).await;
    Ok(())
}
