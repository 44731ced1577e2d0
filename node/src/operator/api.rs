//! Remote procedure calls of operators.

use std::pin;

use config::Change;
use distribution::{Command, Verdict};
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
}

impl Api {
    /// Sends changes to `distribution` and questions to `desk`.
    #[must_use]
    pub fn new(distribution: kernel::Mailbox<Command>, desk: kernel::Mailbox<Query>) -> Self {
        Self { distribution, desk }
    }
}

type Reply<T> = Result<tonic::Response<T>, tonic::Status>;

/// The error for a request without a field that it needs.
fn missing(field: &'static str) -> tonic::Status {
    let details = tonic_types::ErrorDetails::with_bad_request_violation(field, "it is required");
    let message = format!("the field `{field}` is missing");
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
        let operation = text.parse().map_err(|error: units::Error| {
            let details =
                tonic_types::ErrorDetails::with_bad_request_violation("operation", error.expected);
            let message = error.to_string();
            tonic::Status::with_error_details(tonic::Code::InvalidArgument, message, details)
        })?;
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
        _: tonic::Request<wire::StartMoveRequest>,
    ) -> Reply<wire::MoveReply> {
        Err(tonic::Status::unimplemented("moves are not wired yet"))
    }

    async fn list_moves(
        &self,
        _: tonic::Request<wire::ListMovesRequest>,
    ) -> Reply<wire::ListMovesReply> {
        Err(tonic::Status::unimplemented("moves are not wired yet"))
    }

    async fn show_move(&self, _: tonic::Request<wire::ShowMoveRequest>) -> Reply<wire::MoveReply> {
        Err(tonic::Status::unimplemented("moves are not wired yet"))
    }

    type WatchMoveStream = pin::Pin<Box<stream::Empty<Result<wire::MoveReply, tonic::Status>>>>;

    async fn watch_move(
        &self,
        _: tonic::Request<wire::ShowMoveRequest>,
    ) -> Reply<Self::WatchMoveStream> {
        Err(tonic::Status::unimplemented("moves are not wired yet"))
    }

    async fn cancel_move(
        &self,
        _: tonic::Request<wire::CancelMoveRequest>,
    ) -> Reply<wire::MoveReply> {
        Err(tonic::Status::unimplemented("moves are not wired yet"))
    }
}
