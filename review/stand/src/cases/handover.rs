//! An answer that breaks off while a request with a body waits behind it on the connection.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Behaviour, Fleet, Record, config, get};
use crate::http::{Head, Wire};

const HOST: &str = "jepu9.example";
/// Bytes of each answer.
const BYTES: usize = 1_500;
/// One in so many answers of a spoiling upstream breaks off (x = 0.048); odd, so that both requests of a pair meet it.
const SPOILED: u64 = 21;
const PAIRS: usize = 400;

fn body(id: &str, bytes: usize) -> Vec<u8> {
    format!("<{id}>").into_bytes().into_iter().cycle().take(bytes).collect()
}

fn upstream(record: Record, name: &'static str, spoils: bool) -> Arc<Behaviour> {
    let count = AtomicU64::new(0);
    Arc::new(move |wire: &mut Wire, head: &Head, _: &[u8]| {
        let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
        thread::sleep(Duration::from_millis(10));
        let number = if id.starts_with("warm") { 0 } else { count.fetch_add(1, Ordering::Relaxed) + 1 };
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Upstream-Signature: s.{id}\r\nContent-Length: {BYTES}\r\n\r\n"
        );
        wire.send(text.as_bytes())?;
        let body = body(&id, BYTES);
        if spoils && number > 0 && number % SPOILED == 0 {
            record.add(format!("{name} runs {id}; its answer breaks off after {} bytes", BYTES / 2));
            wire.send(&body[..BYTES / 2])?;
            return Ok(false);
        }
        wire.send(&body)?;
        Ok(true)
    })
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(record.clone())?;
    let routes = [(HOST, "/lepu270/", "idempotent", "huvo11a", 1.5)];
    fleet.store.put("config", "main", config(7, &["huvo11a"], &routes));
    let places = [("qc-east-a", "upstream 1"), ("qc-east-b", "upstream 2"), ("qc-east-c", "upstream 3"), ("qc-east-c", "upstream 4")];
    for (index, (zone, name)) in places.into_iter().enumerate() {
        // Half of the upstreams, as `garble` does where a day names no share.
        let spoils = trouble && index % 2 == 0;
        fleet.add(zone, "huvo11a", "v1", 9, upstream(record.clone(), name, spoils))?;
    }
    fleet.keep_beating(9);
    if !fleet.wait_served(HOST, "/lepu270/warm", Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    let (mut cut, mut broken) = (0, 0);
    for pair in 0..PAIRS {
        let machine = &fleet.machines[pair % 4];
        let mut wire = Wire::open(machine.callers, Duration::from_secs(3))?;
        let ids = [format!("view-{pair}"), format!("search-{pair}")];
        let search = body(&ids[1], 300);
        let mut bytes = get(HOST, "/lepu270/2f", &ids[0], 1_500).into_bytes();
        bytes.extend(format!(
            "POST /lepu270/search HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n",
            ids[1], search.len()
        ).bytes());
        bytes.extend(search);
        wire.send(&bytes)?;
        for id in &ids {
            match check(&mut wire, id) {
                Ok("whole") => {}
                Ok(other) => {
                    record.add(format!("client at {}: {id}: {other}", machine.name));
                    cut += 1;
                    break;
                }
                Err(found) => {
                    record.add(format!("client at {}: {id}: {found}", machine.name));
                    broken += 1;
                    break;
                }
            }
        }
    }
    record.add(format!("{PAIRS} connections: {broken} got an answer that is not the upstream's, {cut} saw an answer break off"));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Checks the next answer as a client does; an answer that visibly breaks off breaks no promise.
fn check(wire: &mut Wire, id: &str) -> Result<&'static str, String> {
    let Ok(Some(head)) = wire.head() else { return Ok("no answer") };
    if head.status() / 100 != 2 {
        return Ok("not a success");
    }
    if head.header("x-attempt-id") != Some(id) {
        return Err(format!("MIXED: the answer of {:?}", head.header("x-attempt-id")));
    }
    let Ok(got) = wire.body(&head) else { return Ok("the answer broke off") };
    let wanted = body(id, BYTES);
    if head.header("x-upstream-signature") != Some(&format!("s.{id}")) || got != wanted {
        let same = got.iter().zip(&wanted).take_while(|(a, b)| a == b).count();
        let then: String = String::from_utf8_lossy(&got[same..]).chars().take(60).collect();
        return Err(format!("MIXED: status {}; {same} of {} bytes are the upstream's, then {then:?}", head.status(), wanted.len()));
    }
    Ok("whole")
}
