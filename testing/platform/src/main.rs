//! Stand-in for the platform's object API.

use std::io;
use std::process;

use error_stack::{Report, ResultExt};
use radishgap_platform::{Error, Server, Settings};

fn main() -> process::ExitCode {
    let command = program::command(
        "radishgap-platform",
        "Stand-in for the platform's object API",
    );
    let settings: Settings = match program::load(command) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    telemetry::start_logs("radishgap-platform", settings.log_level);
    program::run(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Report<Error>> {
    let listen = settings.listen;
    let failed = |error: io::Error| Error::Listen(listen, error);
    let server = Server::bind(settings).await?;
    let address = server.address().map_err(failed)?;
    log::info!(address:% = address; "listening");
    let (trigger, stop) = kernel::stop();
    let serving = compio::runtime::spawn(server.run(stop));
    program::terminated().await.change_context(Error::Signals)?;
    trigger.fire();
    serving.await.map_err(|_| Report::new(Error::Panicked))
}
