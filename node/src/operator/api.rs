//! Remote procedure calls of operators.

use std::pin;
use std::task;

use config::Change;
use distribution::{Command, Verdict};
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::stream;
use schema::operator as wire;
use tonic_types::StatusExt;

use super::Query;
use crate::ask::ask;

/// Implements the `Operator` service by messages to the services of the node.
#[derive(Clone)]
pub struct Api {
    distribution: kernel::Mailbox<Command>,
    desk: kernel::Mailbox<Query>,
    moves: kernel::Mailbox<moves::Command>,
}

impl Api {
    /// Sends changes to `distribution`, questions to `desk`, and what concerns moves to `moves`.
    #[must_use]
    pub fn new(
        distribution: kernel::Mailbox<Command>,
        desk: kernel::Mailbox<Query>,
        moves: kernel::Mailbox<moves::Command>,
    ) -> Self {
        Self {
            distribution,
            desk,
            moves,
        }
    }
}

type Reply<T> = Result<tonic::Response<T>, tonic::Status>;

/// The error for a request without a field that it needs.
fn missing(field: &'static str) -> tonic::Status {
    let details = tonic_types::ErrorDetails::with_bad_request_violation(field, "it is required");
    let message = format!("the field `{field}` is missing");
    tonic::Status::with_error_details(tonic::Code::InvalidArgument, message, details)
}

/// The error for a field that is no valid value of its unit.
fn malformed(field: &'static str, error: &units::Error) -> tonic::Status {
    let details = tonic_types::ErrorDetails::with_bad_request_violation(field, error.expected);
    let message = error.to_string();
    tonic::Status::with_error_details(tonic::Code::InvalidArgument, message, details)
}

/// The reply for `verdict` on `operation`.
fn reply(operation: String, verdict: Verdict) -> wire::ApplyReply {
    use wire::apply_reply::Outcome;
    let (outcome, version, findings) = match verdict {
        Verdict::Accepted(accepted) => (Outcome::Accepted, accepted.version.0, Vec::new()),
        Verdict::Valid => (Outcome::Valid, 0, Vec::new()),
        Verdict::Refused(findings) => (Outcome::Refused, 0, config::encode_findings(&findings)),
        Verdict::Conflict(findings) => (Outcome::Conflict, 0, config::encode_findings(&findings)),
        Verdict::Unavailable => (Outcome::Unavailable, 0, Vec::new()),
        Verdict::Unknown => (Outcome::Unknown, 0, Vec::new()),
        Verdict::Missing => (Outcome::Missing, 0, Vec::new()),
    };
    wire::ApplyReply {
        outcome: outcome.into(),
        operation,
        version,
        findings,
    }
}

#[tonic::async_trait]
impl wire::operator_server::Operator for Api {
    async fn apply(&self, request: tonic::Request<wire::ApplyRequest>) -> Reply<wire::ApplyReply> {
        let request = request.into_inner();
        let change = request.change.ok_or_else(|| missing("change"))?;
        let operation = change.operation.clone();
        let change = match Change::decode(&change) {
            Ok(change) => change,
            Err(findings) => {
                let verdict = Verdict::Refused(findings);
                return Ok(tonic::Response::new(reply(operation, verdict)));
            }
        };
        let dry_run = request.dry_run;
        let verdict = ask(&self.distribution, |answer| Command::Accept {
            change,
            dry_run,
            answer,
        })
        .await?;
        log::info!(operation = operation.as_str(), verdict:? = verdict; "change decided");
        Ok(tonic::Response::new(reply(operation, verdict)))
    }

    async fn read(&self, _: tonic::Request<wire::ReadRequest>) -> Reply<wire::ReadReply> {
        let answer = ask(&self.desk, Query::Read).await?;
        Ok(tonic::Response::new(answer))
    }

    async fn status(
        &self,
        request: tonic::Request<wire::StatusRequest>,
    ) -> Reply<wire::StatusReply> {
        let version = units::Version(request.into_inner().version);
        let answer = ask(&self.distribution, |answer| Command::Status {
            version,
            answer,
        })
        .await?;
        Ok(tonic::Response::new(answer))
    }

    async fn operation(
        &self,
        request: tonic::Request<wire::OperationRequest>,
    ) -> Reply<wire::OperationReply> {
        let text = request.into_inner().operation;
        let operation = text
            .parse()
            .map_err(|error| malformed("operation", &error))?;
        let verdict = ask(&self.distribution, |answer| Command::Settle {
            operation,
            answer,
        })
        .await?;
        let reply = reply(text, verdict);
        Ok(tonic::Response::new(wire::OperationReply {
            outcome: reply.outcome,
            version: reply.version,
        }))
    }

    async fn dump(&self, _: tonic::Request<wire::DumpRequest>) -> Reply<wire::DumpReply> {
        let answer = ask(&self.desk, Query::Dump).await?;
        Ok(tonic::Response::new(answer))
    }

    async fn start_move(
        &self,
        request: tonic::Request<wire::StartMoveRequest>,
    ) -> Reply<wire::MoveReply> {
        let start = decode_start(request.into_inner())?;
        let answer = ask(&self.moves, |answer| moves::Command::Start {
            start,
            answer,
        })
        .await?;
        reply_move(answer)
    }

    async fn list_moves(
        &self,
        _: tonic::Request<wire::ListMovesRequest>,
    ) -> Reply<wire::ListMovesReply> {
        let moves = ask(&self.moves, |answer| moves::Command::List { answer }).await?;
        Ok(tonic::Response::new(wire::ListMovesReply { moves }))
    }

    async fn show_move(
        &self,
        request: tonic::Request<wire::ShowMoveRequest>,
    ) -> Reply<wire::MoveReply> {
        let id = request.into_inner().id.into();
        let answer = ask(&self.moves, |answer| moves::Command::Show { id, answer }).await?;
        reply_move(answer)
    }

    type WatchMoveStream = States;

    async fn watch_move(
        &self,
        request: tonic::Request<wire::ShowMoveRequest>,
    ) -> Reply<Self::WatchMoveStream> {
        let id = request.into_inner().id.into();
        let states = ask(&self.moves, |answer| moves::Command::Watch { id, answer }).await?;
        let states = states.map_err(refuse)?;
        Ok(tonic::Response::new(States(states)))
    }

    async fn cancel_move(
        &self,
        request: tonic::Request<wire::CancelMoveRequest>,
    ) -> Reply<wire::MoveReply> {
        let request = request.into_inner();
        let id = request.id.into();
        let reason = request.reason.into();
        let answer = ask(&self.moves, |answer| moves::Command::Cancel {
            id,
            reason,
            answer,
        })
        .await?;
        reply_move(answer)
    }
}

/// The states of one move, until it has ended.
pub struct States(mpsc::UnboundedReceiver<wire::Move>);

impl stream::Stream for States {
    type Item = Result<wire::MoveReply, tonic::Status>;

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        let state = task::ready!(self.0.poll_next_unpin(context));
        let reply = state.map(|state| {
            Ok(wire::MoveReply {
                r#move: Some(state),
            })
        });
        task::Poll::Ready(reply)
    }
}

fn decode_start(request: wire::StartMoveRequest) -> Result<moves::Start, tonic::Status> {
    for (field, text) in [
        ("service", &request.service),
        ("from", &request.from),
        ("to", &request.to),
    ] {
        if text.is_empty() {
            return Err(missing(field));
        }
    }
    if request.deadline_ms == 0 {
        return Err(missing("deadline_ms"));
    }
    let operation = match request.operation.as_str() {
        "" => units::Operation::random(),
        text => text
            .parse()
            .map_err(|error| malformed("operation", &error))?,
    };
    Ok(moves::Start {
        operation,
        service: request.service.into(),
        from: request.from.into(),
        to: request.to.into(),
        deadline: units::Wall(request.deadline_ms),
    })
}

fn reply_move(answer: Result<wire::Move, moves::Refusal>) -> Reply<wire::MoveReply> {
    let state = answer.map_err(refuse)?;
    Ok(tonic::Response::new(wire::MoveReply {
        r#move: Some(state),
    }))
}

/// The status of a refused command about moves.
fn refuse(refusal: moves::Refusal) -> tonic::Status {
    let code = match refusal.kind() {
        moves::Kind::Invalid => tonic::Code::InvalidArgument,
        moves::Kind::Missing => tonic::Code::NotFound,
        moves::Kind::Precondition => tonic::Code::FailedPrecondition,
        moves::Kind::Unavailable => tonic::Code::Unavailable,
        moves::Kind::Unknown => tonic::Code::Unknown,
    };
    tonic::Status::new(code, refusal.to_string())
}
