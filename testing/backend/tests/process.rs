//! Contract of the stand-in as a process: what is left after a crash, and a graceful stop.

use std::fs;
use std::io;
use std::io::{BufRead, Read, Write};
use std::net;
use std::path;
use std::process;

use radishgap_backend::{Ending, Event};

/// A stand-in that is killed when dropped.
struct Backend {
    child: process::Child,
    address: net::SocketAddr,
    record: path::PathBuf,
}

impl Drop for Backend {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(name: &str, more: &str) -> Backend {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("folder");
    let record = folder.join("record.jsonl");
    let _ = fs::remove_file(&record);
    let settings = format!(
        r#"{{"listen": "127.0.0.1:0", "service": "bookdesk", "version": "v1",
            "drain": "100ms", "record_file": {record:?}{more}}}"#
    );
    let file = folder.join("settings.json");
    fs::write(&file, settings).expect("settings");
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_radishgap-backend"))
        .arg("--settings")
        .arg(&file)
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("process");
    let address = listening(&mut child);
    Backend {
        child,
        address,
        record,
    }
}

/// The address that the process says it listens on.
fn listening(child: &mut process::Child) -> net::SocketAddr {
    let log = child.stdout.take().expect("log");
    let mut lines = io::BufReader::new(log).lines();
    let line = lines.next().expect("a line").expect("text");
    // What follows is read, so that the process never waits for its log.
    std::thread::spawn(move || lines.count());
    let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    let address = line["address"].as_str().expect("an address");
    address.parse().expect("an address")
}

fn connect(backend: &Backend) -> net::TcpStream {
    net::TcpStream::connect(backend.address).expect("connection")
}

fn send(stream: &mut net::TcpStream, headers: &str) -> io::Result<()> {
    write!(
        stream,
        "GET /book HTTP/1.1\r\nhost: b\r\nconnection: close\r\n{headers}\r\n"
    )
}

fn events(backend: &Backend) -> Vec<Event> {
    let text = fs::read_to_string(&backend.record).unwrap_or_default();
    let lines = text.lines();
    lines
        .map(|line| serde_json::from_str(line).expect("event"))
        .collect()
}

#[test]
fn run_crash() {
    let mut backend = start("crash", "");
    let mut stream = connect(&backend);
    send(&mut stream, "x-crash: 1\r\nx-call: poison\r\n").expect("request");
    let status = backend.child.wait().expect("end");
    assert!(!status.success());
    let events = events(&backend);
    assert!(matches!(&events[0], Event::Start(run) if run.call == "poison"));
    assert!(matches!(events[1], Event::End(_, 0, _, Ending::Crashed)));
}

#[test]
fn run_terminate() {
    let slow = r#", "service_time": {"distribution": "fixed", "mean": "400ms"}"#;
    let mut backend = start("terminate", slow);
    let mut stream = connect(&backend);
    send(&mut stream, "x-call: last\r\n").expect("request");
    while events(&backend).is_empty() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let asked = process::Command::new("kill")
        .arg(backend.child.id().to_string())
        .status();
    assert!(asked.expect("signal").success());
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(backend.child.wait().expect("end").success());
    assert!(matches!(
        events(&backend)[1],
        Event::End(_, 0, _, Ending::Answered)
    ));
}
