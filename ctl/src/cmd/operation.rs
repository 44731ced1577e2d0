//! `operation`: says how an operation ended.

use clap::ArgMatches;
use error_stack::Report;
use schema::operator;

use super::{Context, apply, one};
use crate::view::Applied;
use crate::{Exit, Failure};

pub(super) async fn run(
    context: &Context,
    arguments: &ArgMatches,
) -> Result<Exit, Report<Failure>> {
    let operation = one::<units::Operation>(arguments, "id")?.to_string();
    let message = operator::OperationRequest {
        operation: operation.clone(),
    };
    let request = context.client.request(message);
    let mut client = context.client.operator();
    let reply = context.client.finish(client.operation(request)).await;
    let reply = reply.map_err(|error| Report::new(Failure::from(error)))?;
    context.console.show(&Applied {
        outcome: Applied::name(reply.outcome()),
        operation,
        version: reply.version,
        findings: Vec::new(),
    });
    Ok(apply::exit(reply.outcome()))
}
