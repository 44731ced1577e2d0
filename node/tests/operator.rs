//! The operator API: access, missing fields, and the translation of verdicts.

use std::time;

use distribution::{Accepted, Command, Verdict};
use node::operator::{Access, Api};
use schema::operator as wire;
use schema::operator::apply_reply::Outcome;
use schema::operator::operator_client::OperatorClient;
use schema::operator::operator_server::OperatorServer;
use tonic::service::Routes;
use tonic_types::StatusExt;

const TOKEN: &str = "a-long-token";

/// A served API and the mailbox that its changes go to.
struct Served {
    client: OperatorClient<web::Channel>,
    commands: kernel::Inbox<Command>,
    trigger: kernel::Trigger,
}

async fn serve() -> Served {
    let (distribution, commands) = kernel::mailbox(4);
    let (desk, _) = kernel::mailbox(4);
    let (moves, _) = kernel::mailbox(4);
    let api = Api::new(distribution, desk, moves);
    let service = OperatorServer::with_interceptor(api, Access::new(TOKEN));
    let any = "127.0.0.1:0".parse().expect("it is an address");
    let server = web::Server::bind(any, web::Limits::default()).await;
    let server = server.expect("a port is free");
    let address = server.address().expect("it is bound");
    let (trigger, stop) = kernel::stop();
    let grpc = web::Grpc::new(Routes::new(service));
    compio::runtime::spawn(server.run(grpc, stop)).detach();
    let channel = web::Channel::open(address).await.expect("it listens");
    Served {
        client: OperatorClient::new(channel),
        commands,
        trigger,
    }
}

fn with_token<T>(message: T, token: &str) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let value = format!("Bearer {token}").parse().expect("it is ASCII");
    request.metadata_mut().insert("authorization", value);
    request
}

fn change() -> schema::config::Change {
    let remove = schema::config::Remove {
        kind: schema::config::remove::Kind::Route.into(),
        name: "menus".into(),
        expected_revision: None,
    };
    schema::config::Change {
        operation: "operation-1".into(),
        puts: Vec::new(),
        removes: vec![remove],
        author: String::new(),
    }
}

#[compio::test]
async fn access_fault_cases() {
    let mut served = serve().await;
    let bare = tonic::Request::new(wire::ReadRequest {});
    let wrong = with_token(wire::ReadRequest {}, "another-token");
    let longer = with_token(wire::ReadRequest {}, "a-long-token2");
    for (name, request) in [("none", bare), ("wrong", wrong), ("longer", longer)] {
        let status = served.client.read(request).await.expect_err(name);
        assert_eq!(status.code(), tonic::Code::Unauthenticated, "{name}");
    }
    served.trigger.fire();
}

#[compio::test]
async fn apply_missing_change() {
    let mut served = serve().await;
    let request = with_token(wire::ApplyRequest::default(), TOKEN);
    let status = served.client.apply(request).await.expect_err("no change");
    assert_eq!(status.code(), tonic::Code::InvalidArgument);
    let details = status.get_details_bad_request().expect("it has details");
    assert_eq!(details.field_violations[0].field, "change");
    served.trigger.fire();
}

#[compio::test]
async fn apply_verdicts() {
    let mut served = serve().await;
    let accepted = Verdict::Accepted(Accepted {
        version: units::Version(7),
    });
    let mut findings = config::Findings::default();
    findings.add("/puts/0", "a problem", "something else");
    let cases = [
        (accepted, Outcome::Accepted, 7),
        (Verdict::Valid, Outcome::Valid, 0),
        (Verdict::Refused(findings.clone()), Outcome::Refused, 0),
        (Verdict::Conflict(findings), Outcome::Conflict, 0),
        (Verdict::Unavailable, Outcome::Unavailable, 0),
        (Verdict::Unknown, Outcome::Unknown, 0),
    ];
    for (verdict, outcome, version) in cases {
        let message = wire::ApplyRequest {
            change: Some(change()),
            dry_run: false,
        };
        let called = served.client.apply(with_token(message, TOKEN));
        let answered = async {
            let Some(Command::Accept { answer, .. }) = served.commands.receive().await else {
                panic!("the change does not arrive");
            };
            answer.send(verdict).expect("the call waits");
        };
        let (reply, ()) = futures_util::future::join(called, answered).await;
        let reply = reply.expect("it answers").into_inner();
        assert_eq!((reply.outcome(), reply.version), (outcome, version));
        assert_eq!(reply.operation, "operation-1");
    }
    served.trigger.fire();
}

#[compio::test]
async fn apply_stopped_service() {
    let mut served = serve().await;
    let _ = served.commands.close();
    let message = wire::ApplyRequest {
        change: Some(change()),
        dry_run: false,
    };
    let called = served.client.apply(with_token(message, TOKEN));
    let ended = compio::time::timeout(time::Duration::from_secs(10), called).await;
    let status = ended.expect("it answers at once").expect_err("it stopped");
    assert_eq!(status.code(), tonic::Code::Unavailable);
    served.trigger.fire();
}
