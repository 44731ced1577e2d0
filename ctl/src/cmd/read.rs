//! `read`: prints the configuration that the node holds.

use config::Snapshot;
use error_stack::Report;
use schema::operator;

use super::Context;
use crate::view::Configuration;
use crate::{Exit, Failure};

pub(super) async fn run(context: &Context) -> Result<Exit, Report<Failure>> {
    let held = snapshot(context).await?;
    context.console.show(&Configuration::from(&held));
    Ok(Exit::Done)
}

/// The configuration that the node holds.
pub(super) async fn snapshot(context: &Context) -> Result<Snapshot, Report<Failure>> {
    let request = context.client.request(operator::ReadRequest {});
    let mut client = context.client.operator();
    let reply = context.client.finish(client.read(request)).await;
    let reply = reply.map_err(|error| Report::new(Failure::from(error)))?;
    let checkpoint = reply.configuration.unwrap_or_default();
    if checkpoint.version == 0 {
        return Ok(Snapshot::default());
    }
    Snapshot::decode(&checkpoint).map_err(|findings| {
        let text = format!("the configuration of the node is malformed:\n{findings}");
        Report::new(Failure::Lost(text))
    })
}
