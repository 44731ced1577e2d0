//! `status`: says on how many nodes a version is in force.

use std::time;

use clap::ArgMatches;
use error_stack::Report;
use schema::operator;

use super::{Context, one};
use crate::view::Status;
use crate::{Exit, Failure};

/// Pause between two questions while it waits.
const WAIT_PAUSE: time::Duration = time::Duration::from_millis(200);

pub(super) async fn run(
    context: &Context,
    arguments: &ArgMatches,
) -> Result<Exit, Report<Failure>> {
    let version: Option<&units::Version> = arguments.get_one("version");
    let version = version.copied().unwrap_or_default();
    let status = ask(context, version).await?;
    if !arguments.get_flag("wait") {
        context.console.show(&status);
        return Ok(Exit::Done);
    }
    let timeout = *one::<units::Period>(arguments, "timeout")?;
    wait(context, status, timeout).await
}

/// Asks until the version is in force everywhere, or the time is up.
async fn wait(
    context: &Context,
    mut status: Status,
    timeout: units::Period,
) -> Result<Exit, Report<Failure>> {
    let started = time::Instant::now();
    while !status.is_everywhere() {
        if started.elapsed() >= timeout.0 {
            context.console.show(&status);
            return Err(Report::new(Failure::Timeout(timeout)));
        }
        compio::time::sleep(WAIT_PAUSE).await;
        status = ask(context, units::Version(status.version)).await?;
    }
    context.console.show(&status);
    Ok(Exit::Done)
}

async fn ask(context: &Context, version: units::Version) -> Result<Status, Report<Failure>> {
    let message = operator::StatusRequest { version: version.0 };
    let request = context.client.request(message);
    let mut client = context.client.operator();
    let reply = context.client.finish(client.status(request)).await;
    let reply = reply.map_err(|error| Report::new(Failure::from(error)))?;
    Ok(reply.into())
}
