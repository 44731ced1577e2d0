//! Contract with the operator API: the commands as processes against a fake of it.

use std::io::Write;
use std::process;
use std::thread;

use futures_util::stream;
use schema::operator as wire;
use schema::operator::operator_server::{Operator, OperatorServer};
use tonic::{Request, Response, Status};

const TOKEN: &str = "secret";

/// Answers by the operation id or move id that it is sent.
#[derive(Clone)]
struct Fake;

fn authorised<M>(request: Request<M>) -> Result<M, Status> {
    let held = request.metadata().get("authorization");
    let held = held.and_then(|value| value.to_str().ok());
    if held == Some("Bearer secret") {
        Ok(request.into_inner())
    } else {
        Err(Status::unauthenticated("a token is needed"))
    }
}

fn outcome(operation: &str) -> Result<wire::apply_reply::Outcome, Status> {
    use wire::apply_reply::Outcome;
    match operation {
        "accepted" => Ok(Outcome::Accepted),
        "refused" => Ok(Outcome::Refused),
        "conflict" => Ok(Outcome::Conflict),
        "unknown" => Ok(Outcome::Unknown),
        "unavailable" => Ok(Outcome::Unavailable),
        "missing" => Ok(Outcome::Missing),
        "valid" => Ok(Outcome::Valid),
        "lost" => Err(Status::unavailable("connection reset")),
        _ => Err(Status::invalid_argument("no such case")),
    }
}

fn moved(id: &str, state: wire::r#move::State) -> wire::MoveReply {
    wire::MoveReply {
        r#move: Some(wire::Move {
            id: id.to_owned(),
            state: state.into(),
            ended_ms: u64::from(state != wire::r#move::State::Running),
            ..Default::default()
        }),
    }
}

#[tonic::async_trait]
impl Operator for Fake {
    async fn apply(
        &self,
        request: Request<wire::ApplyRequest>,
    ) -> Result<Response<wire::ApplyReply>, Status> {
        let change = authorised(request)?.change.unwrap_or_default();
        let mut reply = wire::ApplyReply {
            operation: change.operation.clone(),
            version: 4,
            ..Default::default()
        };
        reply.set_outcome(outcome(&change.operation)?);
        if change.operation == "refused" {
            reply.findings.push(schema::config::Finding {
                place: "/puts/0/service/weights".to_owned(),
                problem: "a problem".to_owned(),
                expected: "something else".to_owned(),
            });
        }
        Ok(Response::new(reply))
    }

    async fn read(
        &self,
        request: Request<wire::ReadRequest>,
    ) -> Result<Response<wire::ReadReply>, Status> {
        authorised(request)?;
        Ok(Response::new(wire::ReadReply::default()))
    }

    async fn status(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::StatusReply>, Status> {
        let version = authorised(request)?.version;
        Ok(Response::new(wire::StatusReply {
            version,
            in_force: u32::from(version < 10),
            nodes: 1,
            behind: Vec::new(),
        }))
    }

    async fn operation(
        &self,
        request: Request<wire::OperationRequest>,
    ) -> Result<Response<wire::OperationReply>, Status> {
        let mut reply = wire::OperationReply::default();
        reply.set_outcome(outcome(&authorised(request)?.operation)?);
        Ok(Response::new(reply))
    }

    async fn dump(
        &self,
        request: Request<wire::DumpRequest>,
    ) -> Result<Response<wire::DumpReply>, Status> {
        authorised(request)?;
        let json = r#"{"node":"n1"}"#.to_owned();
        Ok(Response::new(wire::DumpReply { json }))
    }

    async fn start_move(
        &self,
        request: Request<wire::StartMoveRequest>,
    ) -> Result<Response<wire::MoveReply>, Status> {
        let operation = authorised(request)?.operation;
        match operation.as_str() {
            "lost" => Err(Status::unavailable("connection reset")),
            "refused" => Err(Status::failed_precondition("a move is running")),
            id => Ok(Response::new(moved(id, wire::r#move::State::Running))),
        }
    }

    async fn list_moves(
        &self,
        request: Request<wire::ListMovesRequest>,
    ) -> Result<Response<wire::ListMovesReply>, Status> {
        authorised(request)?;
        Ok(Response::new(wire::ListMovesReply::default()))
    }

    async fn show_move(
        &self,
        request: Request<wire::ShowMoveRequest>,
    ) -> Result<Response<wire::MoveReply>, Status> {
        let id = authorised(request)?.id;
        Ok(Response::new(moved(&id, wire::r#move::State::Running)))
    }

    type WatchMoveStream = stream::Iter<std::vec::IntoIter<Result<wire::MoveReply, Status>>>;

    async fn watch_move(
        &self,
        request: Request<wire::ShowMoveRequest>,
    ) -> Result<Response<Self::WatchMoveStream>, Status> {
        let id = authorised(request)?.id;
        let end = match id.as_str() {
            "done" => wire::r#move::State::Done,
            _ => wire::r#move::State::TakenBack,
        };
        let running = moved(&id, wire::r#move::State::Running);
        let replies = vec![Ok(running), Ok(moved(&id, end))];
        Ok(Response::new(stream::iter(replies)))
    }

    async fn cancel_move(
        &self,
        request: Request<wire::CancelMoveRequest>,
    ) -> Result<Response<wire::MoveReply>, Status> {
        let id = authorised(request)?.id;
        Ok(Response::new(moved(&id, wire::r#move::State::TakenBack)))
    }
}

/// Serves the fake on a thread of its own for as long as the test process lives.
fn serve() -> units::Address {
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
        runtime.block_on(async move {
            let any = "127.0.0.1:0".parse().expect("it is an address");
            let server = web::Server::bind(any, web::Limits::default()).await;
            let server = server.expect("a port is free");
            let address = server.address().expect("it is bound");
            sender.send(address).expect("the test waits");
            let routes = tonic::service::Routes::new(OperatorServer::new(Fake));
            let (_trigger, stop) = kernel::stop();
            server.run(web::Grpc::new(routes), stop).await;
        });
    });
    receiver.recv().expect("the server starts")
}

struct Outcome {
    code: Option<i32>,
    text: String,
}

fn call(address: units::Address, arguments: &[&str]) -> Outcome {
    let output = process::Command::new(env!("CARGO_BIN_EXE_radishgapctl"))
        .args(arguments)
        .env("RADISHGAP_NODE", address.to_string())
        .env("RADISHGAP_OPERATOR_TOKEN", TOKEN)
        .output()
        .expect("the program starts");
    let text = [output.stdout, output.stderr].concat();
    Outcome {
        code: output.status.code(),
        text: String::from_utf8_lossy(&text).into_owned(),
    }
}

fn file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    let mut file = std::fs::File::create(&path).expect("the folder is there");
    file.write_all(text.as_bytes()).expect("the disk has room");
    path
}

type Case<'a> = (Vec<&'a str>, i32, &'a str);

fn check(cases: &[Case<'_>]) {
    let address = serve();
    for (arguments, code, text) in cases {
        let outcome = call(address, arguments);
        assert_eq!(outcome.code, Some(*code), "{arguments:?}: {}", outcome.text);
        assert!(
            outcome.text.contains(text),
            "{arguments:?}: {}",
            outcome.text
        );
    }
}

fn good(name: &str) -> String {
    let text = r#"{"services":[{"name":"a","weights":[{"version":"v1","share":"100%"}]}]}"#;
    file(name, text)
}

#[test]
fn apply_exit_codes() {
    let good = good("apply.json");
    let bad = file("bad.json", r#"{"services":[{"name":"a","weights":[]}]}"#);
    let apply = |operation| vec!["apply", &good, "--operation", operation];
    check(&[
        (apply("accepted"), 0, "version    4"),
        ([apply("valid"), vec!["--dry-run"]].concat(), 0, "valid"),
        (apply("refused"), 1, "/services/0/weights: a problem"),
        (apply("conflict"), 1, "conflict"),
        (apply("unavailable"), 1, "unavailable"),
        (apply("unknown"), 3, "operation  unknown"),
        (apply("lost"), 3, "radishgapctl operation lost"),
        (apply("other"), 1, "no such case"),
        (vec!["apply", &good, "--check"], 0, ""),
        (vec!["apply", &bad], 2, "bad.json: /services/0/weights"),
        (vec!["apply", "/nonexistent"], 2, "cannot read /nonexistent"),
        (vec!["diff", &good], 5, "+ service a: v1 100%"),
    ]);
}

#[test]
fn check_exit_codes() {
    let routed = file(
        "routed.json",
        r#"{"services":[{"name":"a","weights":[{"version":"v1","share":"100%"}]}],
            "routes":[{"name":"r","path_prefix":"/r/","service":"a","target":"2s","timeout":"3s"}]}"#,
    );
    let unused = good("unused.json");
    let dangling = file(
        "dangling.json",
        r#"{"routes":[{"name":"r","path_prefix":"/r/","service":"a"}]}"#,
    );
    let unreachable = ["check", &unused, "--offline", "--node", "127.0.0.1:1"];
    check(&[
        (vec!["check", &routed], 0, "no problem was found"),
        (vec!["check", &routed], 0, "+ service a: v1 100%"),
        (vec!["check", &unused], 6, "never matches: /services/a"),
        (vec!["check", &dangling], 1, "there is no service `a`"),
        (unreachable.to_vec(), 6, "never matches: /services/a"),
    ]);
}

#[test]
fn query_exit_codes() {
    let status = |rest: &[&'static str]| [&["status", "--version"], rest].concat();
    check(&[
        (status(&["3", "--wait"]), 0, "1 of 1 nodes"),
        (
            status(&["10", "--wait", "--timeout", "1ms"]),
            4,
            "0 of 1 nodes",
        ),
        (status(&["10"]), 0, "0 of 1 nodes"),
        (vec!["operation", "missing"], 1, "missing"),
        (vec!["operation", "accepted"], 0, "accepted"),
        (vec!["read"], 0, "version 0"),
        (vec!["dump"], 0, "\"node\": \"n1\""),
        (vec!["dump", "127.0.0.1:1"], 1, "nothing was sent"),
        (vec!["read", "--node", "127.0.0.1:1"], 1, "nothing was sent"),
        (vec!["read", "--node", "localhost"], 2, "localhost"),
        (
            vec!["read", "--token-file", "/nonexistent"],
            2,
            "/nonexistent",
        ),
        (vec![], 2, "Usage"),
    ]);
}

#[test]
fn move_exit_codes() {
    let wrong_token = good("token");
    let start = ["move", "start", "a", "--from", "v1", "--to", "v2"];
    let start = |rest: &[&'static str]| [&start[..], rest].concat();
    check(&[
        (start(&["--deadline", "30m", "--operation", "m2"]), 0, "m2"),
        (start(&["--deadline", "2026-12-03T23:00:00Z"]), 0, "running"),
        (
            start(&["--deadline", "30m", "--operation", "lost"]),
            3,
            "--operation lost",
        ),
        (
            start(&["--deadline", "30m", "--operation", "refused"]),
            1,
            "a move is running",
        ),
        (
            start(&["--deadline", "soon"]),
            2,
            "`soon` is not a deadline",
        ),
        (start(&[]), 2, "--deadline"),
        (vec!["move", "list", "--output", "json"], 0, "[]"),
        (
            vec!["move", "list", "--token-file", &wrong_token],
            1,
            "a token is needed",
        ),
        (vec!["move", "show", "m1"], 0, "move      m1"),
        (vec!["move", "watch", "done"], 0, "done"),
        (vec!["move", "watch", "bad"], 1, "taken back"),
        (vec!["move", "cancel", "m1"], 0, "taken back"),
    ]);
}
