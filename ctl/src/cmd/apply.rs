//! `apply`: applies a file of services and routes.

use clap::ArgMatches;
use error_stack::Report;
use schema::operator::{self, apply_reply::Outcome};

use super::{Context, operation_id};
use crate::client::Error;
use crate::document::Document;
use crate::view::Applied;
use crate::{Exit, Failure};

pub(super) async fn run(
    context: &Context,
    arguments: &ArgMatches,
    document: &Document,
) -> Result<Exit, Report<Failure>> {
    let operation = operation_id(arguments);
    let message = operator::ApplyRequest {
        change: Some(document.change(operation.clone()).encode()),
        dry_run: arguments.get_flag("dry-run"),
    };
    let dry_run = message.dry_run;
    let request = context.client.request(message);
    let mut client = context.client.operator();
    let reply = match context.client.finish(client.apply(request)).await {
        Ok(reply) => reply,
        Err(Error::Lost(problem)) if !dry_run => return Err(lost(&operation, &problem)),
        Err(error) => return Err(Report::new(error.into())),
    };
    context.console.show(&view(&reply, &operation, document));
    Ok(exit(reply.outcome()))
}

fn view(
    reply: &operator::ApplyReply,
    operation: &units::Operation,
    document: &Document,
) -> Applied {
    let findings = document.locate(&reply.findings);
    Applied {
        outcome: Applied::name(reply.outcome()),
        operation: operation.to_string(),
        version: reply.version,
        findings: findings.as_slice().to_vec(),
    }
}

fn lost(operation: &units::Operation, problem: &str) -> Report<Failure> {
    let advice = format!("{problem}; ask `radishgapctl operation {operation}`");
    let operation = operation.to_string();
    Report::new(Failure::Unknown { operation, advice })
}

/// The exit code of an outcome.
pub(super) fn exit(outcome: Outcome) -> Exit {
    match outcome {
        Outcome::Accepted | Outcome::Valid => Exit::Done,
        Outcome::Unknown | Outcome::Unspecified => Exit::Unknown,
        Outcome::Refused | Outcome::Conflict | Outcome::Unavailable | Outcome::Missing => {
            Exit::Failed
        }
    }
}
