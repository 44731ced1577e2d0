//! Random requests, upstreams and troubles; looks for broken promises.
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use crate::Verdict;
use crate::fleet::{Fleet, RawBehaviour, Record, config};
use crate::http::{Head, Wire};
const HOST: &str = "jepu9.example";
pub struct Rng(u64);
impl Rng {
    pub fn new(seed: u64) -> Rng { Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1) }
    pub fn next(&mut self) -> u64 { self.0 ^= self.0 << 13; self.0 ^= self.0 >> 7; self.0 ^= self.0 << 17; self.0 }
    pub fn below(&mut self, n: u64) -> u64 { (self.next() >> 11) % n.max(1) }
    pub fn chance(&mut self, p: f64) -> bool { ((self.next() >> 11) as f64 / (1u64 << 53) as f64) < p }
}
fn body(id: &str, n: usize) -> Vec<u8> { format!("<{id}>").into_bytes().into_iter().cycle().take(n).collect() }
#[derive(Default)]
struct World {
    sent: Mutex<HashMap<String, (String, String, usize)>>, // id -> method, path, length
    runs: Mutex<HashMap<String, u32>>,
    refused: Mutex<Vec<(String, u16)>>,
    problems: Mutex<Vec<String>>,
    stats: Mutex<HashMap<String, u64>>,
}
impl World {
    fn problem(&self, text: String) { eprintln!("PROBLEM {text}"); self.problems.lock().unwrap().push(text); }
    fn count(&self, what: &str) { *self.stats.lock().unwrap().entry(what.to_owned()).or_default() += 1; }
}
fn upstream(world: Arc<World>, service: &'static str, number: u64, trouble: f64) -> Arc<RawBehaviour> {
    let rng = Mutex::new(Rng::new(number + 77));
    Arc::new(move |wire: &mut Wire, head: &Head| {
        let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
        if id == "warm-up" { wire.body(head)?; wire.send(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: warm-up\r\nX-Upstream-Signature: s\r\nContent-Length: 0\r\n\r\n")?; return Ok(true); }
        let (delay, act, framing, n, extra) = { let mut r = rng.lock().unwrap(); let most = if r.chance(0.2) { 60_000 } else { 3_000 }; (r.below(120), r.below(10_000) as f64 / 10_000.0, r.below(4), r.below(most) as usize, r.chance(0.05 * (trouble > 0.0) as u8 as f64)) };
        let sent = world.sent.lock().unwrap().get(&id).cloned();
        let Some((method, path, length)) = sent else { world.problem(format!("UNASKED: unknown id {id}")); return Ok(false) };
        if head.method() != method || head.path() != path { world.problem(format!("UNASKED: {id} {method} {path} came as {}", head.first)); }
        if head.header("x-caller-service") .is_none() { world.problem(format!("UNASKED: {id} without caller")); }
        let run = |world: &World| { let mut runs = world.runs.lock().unwrap(); let c = runs.entry(id.clone()).or_default(); *c += 1; if *c > 1 && method == "POST" { world.problem(format!("TWICE: {id} runs {c} times, now at {service} {number}")); } };
        let a = act / trouble.max(1e-9);
        // early rejection of a long body
        if length > 60_000 && (a < 0.15 || (std::env::var("EARLY").is_ok() && act < 0.5)) {
            if act < 0.25 { wire.send(format!("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").as_bytes())?; }
            else { run(&world); wire.send(format!("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {id}\r\nX-Upstream-Signature: s.{id}\r\nContent-Length: 3\r\n\r\nabc").as_bytes())?; }
            thread::sleep(Duration::from_millis(delay * 3));
            match wire.body(head) { Ok(b) => { if b != body(&id, length) { world.problem(format!("UNASKED: rest of {id} is not its body")); } }, Err(_) => return Ok(false) }
            world.count("u early"); return Ok(true);
        }
        if a < 0.2 { // shed
            wire.body(head)?;
            wire.send(format!("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
            world.count("u shed"); return Ok(true);
        }
        let got = wire.body(head)?;
        if got != body(&id, length) { world.problem(format!("UNASKED: body of {id}: {} bytes of {length}", got.len())); }
        run(&world);
        thread::sleep(Duration::from_millis(delay));
        let signed = format!("X-Attempt-Id: {id}\r\nX-Upstream-Signature: s.{id}\r\nX-Len: {n}\r\n");
        let answer = body(&format!("a{id}"), n);
        if a >= 0.2 && a < 0.3 { world.count("u no answer"); thread::sleep(Duration::from_millis(2500)); return Ok(false); }
        if a >= 0.3 && a < 0.4 { world.count("u cut"); wire.send(format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: {}\r\n\r\n", n + 1).as_bytes())?; wire.send(&answer)?; return Ok(false); }
        if a >= 0.4 && a < 0.45 { world.count("u chunk cut"); wire.send(format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", n + 1).as_bytes())?; wire.send(&answer)?; return Ok(false); }
        if a >= 0.45 && a < 0.5 { world.count("u garbage"); wire.send(b"\x00\x01garbage garbage\r\n\r\n")?; return Ok(false); }
        if a >= 0.5 && a < 0.6 { world.count("u 500"); wire.send(format!("HTTP/1.1 500 Internal Server Error\r\n{signed}Content-Length: 0\r\n\r\n").as_bytes())?; return Ok(true); }
        if a >= 0.6 && a < 0.65 { world.count("u closed"); return Ok(false); }
        world.count("u whole");
        let mut whole = Vec::new();
        match framing {
            0 => { whole.extend(format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n").as_bytes()); for piece in answer.chunks(1000) { whole.extend(format!("{:x}\r\n", piece.len()).as_bytes()); whole.extend(piece); whole.extend(b"\r\n"); } whole.extend(b"0\r\n\r\n"); }
            1 if number % 2 == 0 => { whole.extend(format!("HTTP/1.1 200 OK\r\n{signed}Connection: close\r\n\r\n").as_bytes()); whole.extend(&answer); wire.send(&whole)?; return Ok(false); }
            _ => { whole.extend(format!("HTTP/1.1 200 OK\r\n{signed}Keep-Alive: timeout=4\r\nContent-Length: {n}\r\n\r\n").as_bytes()); whole.extend(&answer); }
        }
        wire.send(&whole)?;
        if extra { world.count("u extra"); if delay % 2 == 0 { thread::sleep(Duration::from_millis(delay)); } wire.send(&whole)?; }
        Ok(true)
    })
}
fn client(world: &Arc<World>, callers: std::net::SocketAddr, seed: u64, stop: &AtomicBool) {
    let mut rng = Rng::new(seed);
    let mut wire: Option<Wire> = None;
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        if rng.chance(0.3) { wire = None; }
        thread::sleep(Duration::from_millis(rng.below(30)));
        let Some(mut open) = wire.take().or_else(|| Wire::open(callers, Duration::from_millis(3500)).ok()) else { world.count("c no connection"); thread::sleep(Duration::from_millis(100)); continue };
        let batch = if rng.chance(0.5) { 1 + rng.below(7) } else { 1 };
        let mut all = Vec::new();
        let mut list = Vec::new();
        for _ in 0..batch {
            turn += 1;
            let id = format!("c{seed}-{turn}");
            let post = batch == 1 && rng.chance(0.7);
            let other = rng.chance(0.5);
            let prefix = match (post, other) { (true, false) => "/post-a/", (true, true) => "/post-b/", (false, false) => "/get-a/", (false, true) => "/get-b/" };
            let path = format!("{prefix}x{}?q={turn}", rng.below(9));
            let with_body = post || (batch > 1 && rng.chance(0.25));
            let length = if !with_body { 0 } else if rng.chance(if std::env::var("EARLY").is_ok() { 0.5 } else { 0.15 }) { rng.below(600_000) as usize } else { rng.below(8_000) as usize };
            let method = if post { "POST" } else if with_body { "PUT" } else { "GET" };
            world.sent.lock().unwrap().insert(id.clone(), (method.into(), path.clone(), length));
            let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
            if with_body && rng.chance(0.3) {
                head += "Transfer-Encoding: chunked\r\n\r\n"; all.extend(head.as_bytes());
                for piece in body(&id, length).chunks(5000) { all.extend(format!("{:x}\r\n", piece.len()).as_bytes()); all.extend(piece); all.extend(b"\r\n"); }
                all.extend(b"0\r\n\r\n");
            } else {
                if with_body { head += &format!("Content-Length: {length}\r\n"); }
                head += "\r\n"; all.extend(head.as_bytes()); all.extend(body(&id, length));
            }
            list.push((id, method));
        }
        let begun = Instant::now();
        if open.send(&all).is_err() { world.count("c send failed"); continue; }
        if std::env::var("LEAVE").is_ok() && rng.chance(0.15) { thread::sleep(Duration::from_millis(rng.below(80))); world.count("c left"); continue; }
        let mut kept = true;
        for (id, method) in &list {
            match open.head() {
                Ok(Some(head)) => {
                    let status = head.status();
                    world.count(&format!("c {status}"));
                    let sig = head.header("x-upstream-signature").map(str::to_owned);
                    if head.header("x-attempt-id") != Some(id) { world.problem(format!("MIXED: {id} gets {status} of {:?}", head.header("x-attempt-id"))); kept = false; break; }
                    let got = if head.header("content-length").is_none() && head.header("transfer-encoding").is_none() { Err(io::ErrorKind::Other.into()) } else { open.body(&head) };
                    match got {
                        Ok(b) => if status / 100 == 2 {
                            let n: usize = head.header("x-len").and_then(|t| t.parse().ok()).unwrap_or(usize::MAX);
                            if sig.as_deref() != Some(&format!("s.{id}")) || b != body(&format!("a{id}"), n) { world.problem(format!("MIXED: {id} {status} {sig:?} body {} of {n}", b.len())); }
                        } else if sig.is_some() && status != 500 { world.problem(format!("MIXED: {id} failure {status} with signature")); },
                        Err(e) => { world.count(&format!("c cut {:?}", e.kind())); if e.kind() == io::ErrorKind::WouldBlock { world.problem(format!("HANG: {id} body never ends, {:?}", begun.elapsed())); } kept = false; }
                    }
                    if *method == "POST" && [503, 429, 408, 421].contains(&status) { world.refused.lock().unwrap().push((id.clone(), status)); }
                    if head.header("connection").is_some_and(|t| t.eq_ignore_ascii_case("close")) { kept = false; }
                    if !kept { break; }
                }
                Ok(None) => { world.count("c closed"); kept = false; break; }
                Err(e) => { world.count(&format!("c error {:?}", e.kind())); if e.kind() == io::ErrorKind::WouldBlock { world.problem(format!("HANG: {id} no answer in {:?}", begun.elapsed())); } kept = false; break; }
            }
        }
        if kept { wire = Some(open); }
    }
}
pub fn run(record: &Record, _: bool) -> io::Result<Verdict> {
    let var = |name: &str, d: f64| std::env::var(name).ok().and_then(|t| t.parse().ok()).unwrap_or(d);
    let (seed, seconds, trouble, chaos) = (var("SEED", 1.0) as u64, var("SECONDS", 40.0), var("BAD", 0.1), var("CHAOS", 1.0));
    let world = Arc::new(World::default());
    let mut fleet = Fleet::new(record.clone())?;
    let routes = [(HOST, "/get-a/", "idempotent", "sa", 1.5), ("h2.example", "/x/", "idempotent", "sa", 1.5)];
    let _ = routes;
    let text = format!("{{\"version\":7,\"services\":[{{\"name\":\"sa\",\"healthPath\":\"/health\",\"maxConnections\":110}},{{\"name\":\"sb\",\"healthPath\":\"/health\",\"maxConnections\":110}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"virtualHosts\":[{{\"hostname\":\"{HOST}\",\"paths\":[{}]}}]}}",
        [("/get-a/", "idempotent", "sa"), ("/get-b/", "idempotent", "sb"), ("/post-a/", "non_idempotent", "sa"), ("/post-b/", "upload", "sb")].iter().map(|(p, k, s)| format!("{{\"name\":\"r{p}\",\"pathPrefix\":\"{p}\",\"routeType\":\"{k}\",\"timeoutS\":1.5,\"targetLatencyS\":0.6,\"priority\":1,\"service\":\"{s}\",\"attempts\":2}}")).collect::<Vec<_>>().join(","));
    let _ = config;
    fleet.store.put("config", "main", crate::json::Json::parse(&text).unwrap());
    for (index, (zone, service)) in [("qc-east-a", "sa"), ("qc-east-b", "sa"), ("qc-east-c", "sb"), ("qc-east-a", "sb")].into_iter().enumerate() {
        fleet.add_raw(zone, service, "v1", upstream(world.clone(), service, index as u64, trouble))?;
    }
    fleet.keep_beating(9);
    if !fleet.wait_served(HOST, "/get-a/warm", Duration::from_secs(20)) { return Ok(Verdict::NotRun); }
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for index in 0..4 { for k in 0..10 {
        let (world, stop, callers) = (world.clone(), stop.clone(), fleet.machines[index].callers);
        threads.push(thread::spawn(move || client(&world, callers, seed * 1000 + index as u64 * 100 + k, &stop)));
    } }
    let mut rng = Rng::new(seed + 5);
    let begun = Instant::now();
    let events = AtomicU64::new(0);
    while begun.elapsed().as_secs_f64() < seconds {
        thread::sleep(Duration::from_millis(300 + rng.below(900)));
        if !rng.chance(chaos) { continue; }
        let index = rng.below(4) as usize;
        events.fetch_add(1, Ordering::Relaxed);
        match rng.below(4) {
            0 | 1 => { fleet.machines[index].signal("STOP"); thread::sleep(Duration::from_millis(100 + rng.below(1800))); fleet.machines[index].signal("CONT"); }
            2 => { fleet.machines[index].kill(); thread::sleep(Duration::from_millis(300)); fleet.start(index)?; }
            _ => { fleet.machines[index].signal("TERM"); let t = Instant::now(); while fleet.machines[index].ended().is_none() && t.elapsed() < Duration::from_secs(6) { thread::sleep(Duration::from_millis(20)); } fleet.machines[index].kill(); fleet.start(index)?; }
        }
    }
    stop.store(true, Ordering::Relaxed);
    for one in threads { let _ = one.join(); }
    thread::sleep(Duration::from_secs(3));
    let runs = world.runs.lock().unwrap();
    for (id, status) in world.refused.lock().unwrap().iter() { if runs.get(id).is_some() { world.problem(format!("REFUSED: {id} {status} ran")); } }
    let stats = world.stats.lock().unwrap(); let mut stats: Vec<_> = stats.iter().collect(); stats.sort();
    println!("{stats:?}");
    for index in 0..4 { let log = fleet.log(index); for line in log.lines().filter(|l| l.contains("panick") || l.contains("invariant")).take(5) { println!("LOG {line}"); } }
    println!("sent {} events {} problems {}", world.sent.lock().unwrap().len(), events.load(Ordering::Relaxed), world.problems.lock().unwrap().len());
    Ok(if world.problems.lock().unwrap().is_empty() { Verdict::Held } else { Verdict::Broken })
}
