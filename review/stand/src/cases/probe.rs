use std::io;
use std::sync::Arc;
use std::time::Duration;
use crate::Verdict;
use crate::fleet::{Behaviour, Fleet, Record, config, get};
use crate::http::{Head, Wire};
const HOST: &str = "jepu9.example";
fn upstream() -> Arc<Behaviour> {
    Arc::new(move |wire: &mut Wire, head: &Head, _: &[u8]| {
        let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
        let n: usize = head.path().rsplit('/').next().and_then(|t| t.parse().ok()).unwrap_or(100);
        let mut all = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Upstream-Signature: s.{id}\r\nContent-Length: {n}\r\n\r\n").into_bytes();
        all.extend(std::iter::repeat_n(b'x', n));
        wire.send(&all)?;
        Ok(true)
    })
}
pub fn run(record: &Record, _: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(record.clone())?;
    let routes = [(HOST, "/lepu270/", "idempotent", "huvo11a", 1.5)];
    fleet.store.put("config", "main", config(7, &["huvo11a", "other"], &routes));
    fleet.add("qc-east-a", "huvo11a", "v1", 9, upstream())?;
    fleet.add("qc-east-b", "other", "v1", 9, upstream())?;
    fleet.keep_beating(9);
    if !fleet.wait_served(HOST, "/lepu270/9", Duration::from_secs(20)) { return Ok(Verdict::NotRun); }
    for index in 0..2 {
        for n in [60_000, 70_000, 90_000, 150_000, 300_000, 1_000_000, 3_000_000] {
            let mut bad = 0; let mut err = String::new();
            for turn in 0..60 {
                let mut wire = Wire::open(fleet.machines[index].callers, Duration::from_secs(2))?;
                wire.send(get(HOST, &format!("/lepu270/{n}"), &format!("p{turn}"), 1500).as_bytes())?;
                let head = wire.head()?.unwrap();
                match wire.body(&head) { Ok(b) if b.len() == n => {}, Ok(b) => { bad += 1; err = format!("{} {}", head.first, b.len()) }, Err(e) => { bad += 1; err = format!("{} {e}", head.first) } }
            }
            println!("machine {index} size {n}: bad {bad} of 60 {err}");
        }
    }
    Ok(Verdict::Held)
}
