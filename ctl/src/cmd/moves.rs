//! `move`: starts, shows, watches and cancels moves.

use std::time;

use clap::ArgMatches;
use error_stack::Report;
use schema::operator;

use super::{Context, one, operation_id, usage};
use crate::client;
use crate::view::{List, Move, Progress};
use crate::{Exit, Failure};

/// Checks what the command line alone cannot see.
pub(super) fn check(arguments: &ArgMatches) -> Result<(), Report<Failure>> {
    match arguments.subcommand() {
        Some(("start", arguments)) => deadline(arguments).map(drop),
        _ => Ok(()),
    }
}

pub(super) async fn run(
    context: &Context,
    arguments: &ArgMatches,
) -> Result<Exit, Report<Failure>> {
    match arguments.subcommand() {
        Some(("start", arguments)) => start(context, arguments).await,
        Some(("list", _)) => list(context).await,
        Some(("show", arguments)) => show(context, arguments).await,
        Some(("watch", arguments)) => watch(context, arguments).await,
        Some(("cancel", arguments)) => cancel(context, arguments).await,
        _ => Err(usage("a command of `move` is missing")),
    }
}

async fn start(context: &Context, arguments: &ArgMatches) -> Result<Exit, Report<Failure>> {
    let operation = operation_id(arguments);
    let message = operator::StartMoveRequest {
        service: one::<units::Service>(arguments, "service")?.to_string(),
        from: one::<units::Service>(arguments, "from")?.to_string(),
        to: one::<units::Service>(arguments, "to")?.to_string(),
        deadline_ms: deadline(arguments)?.0,
        operation: operation.to_string(),
    };
    let request = context.client.request(message);
    let mut client = context.client.operator();
    let reply = context.client.finish(client.start_move(request)).await;
    let advice = || {
        format!("it may have started; the same command with `--operation {operation}` settles it")
    };
    let reply = settle(reply, operation.as_str(), advice)?;
    context.console.show(&moved(reply)?);
    Ok(Exit::Done)
}

async fn list(context: &Context) -> Result<Exit, Report<Failure>> {
    let request = context.client.request(operator::ListMovesRequest {});
    let mut client = context.client.operator();
    let reply = context.client.finish(client.list_moves(request)).await;
    let reply = reply.map_err(|error| Report::new(Failure::from(error)))?;
    let moves = reply.moves.into_iter().map(Move::from).collect();
    context.console.show(&List(moves));
    Ok(Exit::Done)
}

async fn show(context: &Context, arguments: &ArgMatches) -> Result<Exit, Report<Failure>> {
    let request = context.client.request(named(arguments)?);
    let mut client = context.client.operator();
    let reply = context.client.finish(client.show_move(request)).await;
    let reply = reply.map_err(|error| Report::new(Failure::from(error)))?;
    context.console.show(&moved(reply)?);
    Ok(Exit::Done)
}

async fn watch(context: &Context, arguments: &ArgMatches) -> Result<Exit, Report<Failure>> {
    let Some(timeout) = arguments.get_one::<units::Period>("timeout") else {
        return follow(context, arguments).await;
    };
    let following = follow(context, arguments);
    match compio::time::timeout(timeout.0, following).await {
        Ok(ended) => ended,
        Err(_) => Err(Report::new(Failure::Timeout(*timeout))),
    }
}

/// Prints the progress until the move has ended.
async fn follow(context: &Context, arguments: &ArgMatches) -> Result<Exit, Report<Failure>> {
    let request = context.client.request(named(arguments)?);
    let mut client = context.client.operator();
    let stream = context.client.finish(client.watch_move(request)).await;
    let mut stream = stream.map_err(|error| Report::new(Failure::from(error)))?;
    loop {
        let message = stream.message().await;
        let message = message.map_err(|status| Report::new(client::classify(&status).into()))?;
        let Some(reply) = message else {
            let text = "the node ended the watch before the move has ended".to_owned();
            return Err(Report::new(Failure::Lost(text)));
        };
        let progress = Progress(moved(reply)?);
        context.console.show_line(&progress);
        if progress.0.is_ended() {
            let done = progress.0.is_done();
            return Ok(if done { Exit::Done } else { Exit::Failed });
        }
    }
}

async fn cancel(context: &Context, arguments: &ArgMatches) -> Result<Exit, Report<Failure>> {
    let id = one::<String>(arguments, "id")?;
    let message = operator::CancelMoveRequest {
        id: id.clone(),
        reason: one::<String>(arguments, "reason")?.clone(),
    };
    let request = context.client.request(message);
    let mut client = context.client.operator();
    let reply = context.client.finish(client.cancel_move(request)).await;
    let advice = || format!("it may be cancelled; ask `radishgapctl move show {id}`");
    let reply = settle(reply, id, advice)?;
    context.console.show(&moved(reply)?);
    Ok(Exit::Done)
}

fn named(arguments: &ArgMatches) -> Result<operator::ShowMoveRequest, Report<Failure>> {
    let id = one::<String>(arguments, "id")?.clone();
    Ok(operator::ShowMoveRequest { id })
}

fn moved(reply: operator::MoveReply) -> Result<Move, Report<Failure>> {
    let missing = || Report::new(Failure::Lost("the answer names no move".to_owned()));
    reply.r#move.map(Move::from).ok_or_else(missing)
}

/// Turns a lost answer to a call that changes something into an unknown outcome.
fn settle<M>(
    reply: Result<M, client::Error>,
    operation: &str,
    advice: impl FnOnce() -> String,
) -> Result<M, Report<Failure>> {
    reply.map_err(|error| match error {
        client::Error::Lost(problem) => Report::new(Failure::Unknown {
            operation: operation.into(),
            advice: format!("{problem}; {}", advice()),
        }),
        refused @ client::Error::Refused(_) => Report::new(refused.into()),
    })
}

/// The deadline: a time, or a period from now.
fn deadline(arguments: &ArgMatches) -> Result<units::Wall, Report<Failure>> {
    let text = one::<String>(arguments, "deadline")?;
    if let Ok(wall) = text.parse::<units::Wall>() {
        return Ok(wall);
    }
    let period: Result<units::Period, _> = text.parse();
    match period {
        Ok(period) if period.0 > time::Duration::ZERO => Ok(units::Wall::now().after(period.0)),
        _ => Err(usage(&format!(
            "`{text}` is not a deadline: a time such as 2026-12-03T22:00:00Z, or a period such as 30m"
        ))),
    }
}
