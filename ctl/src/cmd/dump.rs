//! `dump`: prints the state of the node's process.

use error_stack::Report;
use schema::operator;

use super::Context;
use crate::view::Dump;
use crate::{Exit, Failure};

pub(super) async fn run(context: &Context) -> Result<Exit, Report<Failure>> {
    let request = context.client.request(operator::DumpRequest {});
    let mut client = context.client.operator();
    let reply = context.client.finish(client.dump(request)).await;
    let reply = reply.map_err(|error| Report::new(Failure::from(error)))?;
    let value = serde_json::from_str(&reply.json).map_err(|error| {
        let text = format!("the dump is not JSON: {error}");
        Report::new(Failure::Lost(text))
    })?;
    context.console.show(&Dump(value));
    Ok(Exit::Done)
}
