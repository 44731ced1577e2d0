//! Whole answers behind a slow one on a connection with pipelined requests.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Behaviour, Fleet, Record, config, get};
use crate::http::{Head, Wire};

const HOST: &str = "jepu9.example";
/// Bytes of the long answer, and of each other one.
const LONG: usize = 80_000;
const SHORT: usize = 8_000;

fn length(id: &str) -> usize {
    if id.starts_with("long") { LONG } else { SHORT }
}

/// The body of the answer to a request: its id over and over.
fn body(id: &str, bytes: usize) -> Vec<u8> {
    format!("<{id}>").into_bytes().into_iter().cycle().take(bytes).collect()
}

/// A sound upstream: answers each request with its id, its signature and its body, in pieces.
fn upstream(record: Record, name: &'static str, slow_ms: u64) -> Arc<Behaviour> {
    Arc::new(move |wire: &mut Wire, head: &Head, _: &[u8]| {
        let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
        let is_first = head.path().starts_with("/lepu270/first");
        let bytes = length(head.path().trim_start_matches("/lepu270/"));
        if !id.starts_with("warm") {
            record.add(format!("{name} runs {id}: {}", head.first));
        }
        thread::sleep(Duration::from_millis(if is_first { slow_ms } else { 60 }));
        let body = body(&id, bytes);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Upstream-Signature: s.{id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        wire.send(text.as_bytes())?;
        for piece in body.chunks(8_000) {
            wire.send(piece)?;
            thread::sleep(Duration::from_millis(15));
        }
        Ok(true)
    })
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    // Work of the first request: 40 ms, and ten times as long at a slow upstream.
    let slow_ms = if trouble { 400 } else { 40 };
    let mut fleet = Fleet::new(record.clone())?;
    let routes = [(HOST, "/lepu270/", "idempotent", "huvo11a", 1.5)];
    fleet.store.put("config", "main", config(7, &["huvo11a"], &routes));
    for (zone, name) in [("qc-east-a", "upstream 1"), ("qc-east-b", "upstream 2"), ("qc-east-c", "upstream 3")] {
        fleet.add(zone, "huvo11a", "v1", 9, upstream(record.clone(), name, slow_ms))?;
    }
    fleet.keep_beating(9);
    if !fleet.wait_served(HOST, "/lepu270/warm", Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    let mut broken = 0;
    for round in 0..10 {
        let machine = &fleet.machines[round % 3];
        let mut wire = Wire::open(machine.callers, Duration::from_secs(3))?;
        let ids: Vec<_> = ["first", "long", "next-a", "next-b", "next-c", "next-d"].iter().map(|part| format!("{part}-{round}")).collect();
        let requests: String = ids.iter().map(|id| get(HOST, &format!("/lepu270/{id}"), id, 1_500)).collect();
        record.add(format!("client sends {} to {} on one connection", ids.join(", "), machine.name));
        wire.send(requests.as_bytes())?;
        for id in &ids {
            let found = check(&mut wire, id, length(id));
            record.add(format!("client: {id}: {}", found.as_ref().map_or_else(String::clone, |text| (*text).to_owned())));
            if found.is_err() {
                broken += 1;
                break;
            }
        }
    }
    record.add(format!("{broken} of 10 connections got an answer that is not the upstream's"));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Checks the next answer as a client does: a 2xx has the request's id and the upstream's whole body.
fn check(wire: &mut Wire, id: &str, bytes: usize) -> Result<&'static str, String> {
    let head = match wire.head() {
        Ok(Some(head)) => head,
        // A closed connection or a missing answer breaks no promise of this rule.
        Ok(None) | Err(_) => return Ok("no answer"),
    };
    if !head.first.starts_with("HTTP/1.1 ") {
        return Err(format!("MIXED: bytes that are no answer: {:?}", head.first.chars().take(60).collect::<String>()));
    }
    let got = match wire.body(&head) {
        Ok(got) => got,
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok("the answer broke off"),
        Err(error) => return Err(format!("MIXED: status {} and a body that does not end: {error}", head.status())),
    };
    if head.status() / 100 != 2 {
        return Ok("not a success");
    }
    if head.header("x-attempt-id") != Some(id) {
        return Err(format!("MIXED: the answer of {:?}", head.header("x-attempt-id")));
    }
    let wanted = body(id, bytes);
    if got != wanted {
        let same = got.iter().zip(&wanted).take_while(|(a, b)| a == b).count();
        let then: String = String::from_utf8_lossy(&got[same..]).chars().take(60).collect();
        return Err(format!("MIXED: status {}; {same} of {} bytes are the upstream's, then {then:?}", head.status(), wanted.len()));
    }
    Ok("whole")
}
