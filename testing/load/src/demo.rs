//! The whole path once, step by step: from a change of configuration to an answered request.

use std::path;
use std::time;

use config::{Route, Service, Weight};
use serde::Serialize;

use crate::caller::{Call, Connection, Outcome, Protocol};
use crate::fleet::{Console, Error, Mesh, Ports, Printed, Process, Shape, Site};

/// Why the demonstration failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A process could not be handled.
    #[error(transparent)]
    Fleet(#[from] Error),
    /// A step did not do what it should.
    #[error("{0}")]
    Step(String),
    /// A name that is not one.
    #[error(transparent)]
    Name(#[from] units::Error),
}

/// Files for `radishgapctl apply`.
#[derive(Serialize)]
struct Document {
    services: Vec<Service>,
    routes: Vec<Route>,
}

/// Host of every route.
const HOST: &str = "strings.example";
/// Time for a change to be in force everywhere.
const IN_FORCE: &str = "20s";
/// Time for the mesh to answer a request as a change says.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(20);
/// Exit code of `radishgapctl diff` when there are differences.
const DIFFERS: i32 = 5;
/// Exit code of a refused change.
const REFUSED: i32 = 1;

/// Runs the demonstration.
///
/// # Errors
/// The first step that was not seen to work.
pub async fn run() -> Result<(), Failure> {
    say(
        "Start: platform, three nodes over two data centres, three backend servers in two services",
    );
    let mut mesh = Mesh::start(shape()?).await?;
    let ended = steps(&mut mesh).await;
    if ended.is_err() {
        mesh.folder().keep();
        let folder = mesh.folder().path().display().to_string();
        eprintln!("the logs and settings are kept in {folder}");
    }
    ended
}

async fn steps(mesh: &mut Mesh) -> Result<(), Failure> {
    note("every process answers that it is ready");
    first_change(mesh)?;
    requests(mesh, &[("/slots/7", "slotboard"), ("/book/7", "bookdesk")]).await?;
    second_change(mesh).await?;
    bad_change(mesh)?;
    dumps(mesh)?;
    stop(mesh).await?;
    say("Done: every step was seen to work");
    Ok(())
}

fn shape() -> Result<Shape, units::Error> {
    let sites = vec![
        Site::new("lautoka-1", "lautoka", "slotboard", "v1")?,
        Site::new("lautoka-2", "lautoka", "bookdesk", "v1")?,
        Site::new("nadi-1", "nadi", "slotboard", "v1")?,
    ];
    let mut shape = Shape::new("fiji-west", sites)?;
    shape.drain = units::Period::from_secs(2);
    Ok(shape)
}

fn service(name: &str) -> Service {
    let weight = Weight {
        version: "v1".into(),
        share: units::Share::WHOLE,
    };
    Service {
        name: name.into(),
        weights: vec![weight],
        revision: units::Version::default(),
        ..Service::default()
    }
}

fn route(name: &str, path: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        path_prefix: path.into(),
        service: service.into(),
        timeout: units::Period::from_secs(5),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(1024 * 1024),
        revision: units::Version::default(),
        ..Route::default()
    }
}

fn write(mesh: &mut Mesh, name: &str, document: &Document) -> Result<path::PathBuf, Failure> {
    let written = mesh.folder().write(name, document);
    Ok(written.map_err(Error::system("cannot write a change"))?)
}

fn first_change(mesh: &mut Mesh) -> Result<(), Failure> {
    say("First change: two services and two routes");
    let document = Document {
        services: vec![service("slotboard"), service("bookdesk")],
        routes: vec![
            route("slots", "/slots", "slotboard"),
            route("book", "/book", "bookdesk"),
        ],
    };
    let file = write(mesh, "first.json", &document)?;
    let file = file.to_string_lossy();
    let console = mesh.console(0);
    command(&console, &["apply", "--dry-run", &file], 0)?;
    command(&console, &["diff", &file], DIFFERS)?;
    command(&console, &["apply", &file], 0)?;
    command(&console, &["status", "--wait", "--timeout", IN_FORCE], 0)?;
    command(&mesh.console(2), &["diff", &file], 0)?;
    Ok(())
}

async fn second_change(mesh: &mut Mesh) -> Result<(), Failure> {
    say("Second change: route `slots` moves to service bookdesk");
    let document = Document {
        services: Vec::new(),
        routes: vec![route("slots", "/slots", "bookdesk")],
    };
    let file = write(mesh, "second.json", &document)?;
    let file = file.to_string_lossy();
    let console = mesh.console(1);
    command(&console, &["apply", &file], 0)?;
    command(&console, &["status", "--wait", "--timeout", IN_FORCE], 0)?;
    requests(mesh, &[("/slots/7", "bookdesk"), ("/book/7", "bookdesk")]).await
}

fn bad_change(mesh: &mut Mesh) -> Result<(), Failure> {
    say("A change with a route to a missing service is refused whole");
    let document = Document {
        services: Vec::new(),
        routes: vec![route("panels", "/panels", "panelhall")],
    };
    let file = write(mesh, "bad.json", &document)?;
    let file = file.to_string_lossy();
    command(&mesh.console(0), &["apply", &file], REFUSED)?;
    command(&mesh.console(0), &["status"], 0)?;
    Ok(())
}

fn dumps(mesh: &Mesh) -> Result<(), Failure> {
    say("State dump of each node");
    for index in 0..mesh.nodes.len() {
        let console = mesh.console(index);
        let printed = quiet(&console, &["dump"], 0)?;
        let state: Result<serde_json::Value, _> = serde_json::from_str(&printed.output);
        let state = state.map_err(|error| Failure::Step(format!("a dump is no JSON: {error}")))?;
        let length = printed.output.len();
        let keys = state.as_object().map_or(0, serde_json::Map::len);
        note(&format!(
            "node {index}: {length} bytes of JSON in {keys} parts"
        ));
    }
    Ok(())
}

/// Sends each path through each node by both protocols until the right service answers.
async fn requests(mesh: &Mesh, expected: &[(&str, &str)]) -> Result<(), Failure> {
    say("Requests through each node, by HTTP/1.1 and HTTP/2");
    for index in 0..mesh.nodes.len() {
        for protocol in [Protocol::Http1, Protocol::Http2] {
            for (path, service) in expected {
                let address = mesh.addresses().vm(index, Ports::CALLERS);
                await_answer(address, protocol, path, service).await?;
            }
        }
        let node = &mesh.shape().sites[index].node;
        note(&format!("{node}: {}", describe(expected)));
    }
    Ok(())
}

fn describe(expected: &[(&str, &str)]) -> String {
    let pairs = expected.iter();
    let texts: Vec<_> = pairs
        .map(|(path, service)| format!("{path} was answered by {service}"))
        .collect();
    texts.join(", ")
}

async fn await_answer(
    address: units::Address,
    protocol: Protocol,
    path: &str,
    service: &str,
) -> Result<(), Failure> {
    let what = format!("the answer of {service} to {path} from {address} by {protocol:?}");
    let mut last = None;
    let waited = Mesh::await_condition(&what, ANSWER_LIMIT, async || {
        let Ok(connection) = Connection::open(address, protocol).await else {
            return false;
        };
        let call = Call::get(units::Operation::random().as_str(), HOST, path);
        let seen = call.run(&connection).await;
        let right = seen.outcome == Outcome::Answered && seen.service == service;
        last = Some(seen);
        right
    });
    let waited = waited.await;
    waited.map_err(|error| Failure::Step(format!("{error}; the last answer was {last:?}")))
}

async fn stop(mesh: &mut Mesh) -> Result<(), Failure> {
    say("Graceful stop of each process");
    for place in 0..mesh.backends.len() {
        if let Some(process) = &mut mesh.backends[place] {
            stop_one(process).await?;
        }
    }
    for place in 0..mesh.nodes.len() {
        if let Some(process) = &mut mesh.nodes[place] {
            stop_one(process).await?;
        }
    }
    stop_one(&mut mesh.platform).await
}

async fn stop_one(process: &mut Process) -> Result<(), Failure> {
    let started = time::Instant::now();
    let status = process.stop().await?;
    let name = process.name();
    let took = started.elapsed().as_secs_f64();
    if status.success() {
        note(&format!("{name} stopped with {status} after {took:.1} s"));
        Ok(())
    } else {
        let log = process.log_end();
        Err(Failure::Step(format!(
            "{name} stopped with {status}\n{log}"
        )))
    }
}

/// Runs a command, shows it with what it prints, and checks its exit code.
fn command(console: &Console, arguments: &[&str], code: i32) -> Result<Printed, Failure> {
    println!("  $ radishgapctl {}", arguments.join(" "));
    let printed = quiet(console, arguments, code)?;
    for line in printed.output.lines().chain(printed.errors.lines()) {
        println!("    {line}");
    }
    Ok(printed)
}

fn quiet(console: &Console, arguments: &[&str], code: i32) -> Result<Printed, Failure> {
    let printed = console.run(arguments)?;
    if printed.code == code {
        return Ok(printed);
    }
    Err(Failure::Step(format!(
        "radishgapctl {} ended with {} instead of {code}:\n{}{}",
        arguments.join(" "),
        printed.code,
        printed.output,
        printed.errors
    )))
}

fn say(text: &str) {
    println!("{text}");
}

fn note(text: &str) {
    println!("  {text}");
}
