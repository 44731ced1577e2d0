//! Spoiled answers whose body does not end, and the memory of the machines that pass them on.

use std::io::{self, Read};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Behaviour, Fleet, Record, config, get};
use crate::http::{Head, Wire};

const HOST: &str = "jepu9.example";
/// `memoryMb` of the site's machines.
const MEMORY_MB: u64 = 110;
/// Bytes a second that a client takes.
const CLIENT_RATE: f64 = 10e6;
/// One in so many answers of a spoiling upstream does not end (x = 0.02).
const SPOILED: u64 = 50;
const RUN: Duration = Duration::from_secs(40);

fn upstream(record: Record, name: &'static str, spoils: bool) -> Arc<Behaviour> {
    let count = AtomicU64::new(0);
    Arc::new(move |wire: &mut Wire, head: &Head, _: &[u8]| {
        let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
        let is_warm_up = id.starts_with("warm");
        thread::sleep(Duration::from_millis(20));
        let number = if is_warm_up { 1 } else { count.fetch_add(1, Ordering::Relaxed) };
        let signed = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Upstream-Signature: s.{id}\r\n");
        if spoils && number % SPOILED == SPOILED - 1 {
            record.add(format!("{name} runs {id} and answers without end"));
            wire.send(format!("{signed}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
            let chunk = vec![b'.'; 64 * 1024];
            let framed = [format!("{:x}\r\n", chunk.len()).as_bytes(), &chunk, b"\r\n"].concat();
            let mut sent = 0;
            while wire.send(&framed).is_ok() {
                sent += chunk.len();
            }
            record.add(format!("{name}: the caller of {id} has closed after {} MB", sent / 1_000_000));
            return Ok(false);
        }
        wire.send(format!("{signed}Content-Length: 1500\r\n\r\n").as_bytes())?;
        wire.send(&[b'a'; 1_500])?;
        Ok(true)
    })
}

/// A client that sends one request after the other and reads at its rate; counts requests and those that
/// ended without a whole answer.
fn client(fleet: &Fleet, index: usize, number: usize, stop: Arc<AtomicBool>, sums: Arc<[AtomicU64; 2]>) {
    let callers = fleet.machines[index].callers;
    thread::spawn(move || {
        let mut wire = None;
        for turn in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(Duration::from_millis(100));
            let mut open = match wire.take() {
                Some(open) => open,
                None => match Wire::open(callers, Duration::from_secs(2)) {
                    Ok(open) => open,
                    Err(_) => continue,
                },
            };
            sums[0].fetch_add(1, Ordering::Relaxed);
            let request = get(HOST, "/lepu270/2f", &format!("c{index}-{number}-{turn}"), 1_500);
            match exchange(&mut open, &request) {
                Ok(()) => wire = Some(open),
                Err(_) => {
                    sums[1].fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    });
}

fn exchange(wire: &mut Wire, request: &str) -> io::Result<()> {
    wire.send(request.as_bytes())?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.header("content-length").is_some() {
        return wire.body(&head).map(|_| ());
    }
    let started = Instant::now();
    let mut buffer = vec![0; 64 * 1024];
    let mut got = 0;
    loop {
        match wire.stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => got += count,
        }
        let due = Duration::from_secs_f64(got as f64 / CLIENT_RATE);
        if due > Duration::from_secs(3) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
}

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(record.clone())?;
    let routes = [(HOST, "/lepu270/", "idempotent", "huvo11a", 1.5)];
    fleet.store.put("config", "main", config(7, &["huvo11a"], &routes));
    let places = [("qc-east-a", "upstream 1"), ("qc-east-a", "upstream 2"), ("qc-east-b", "upstream 3"), ("qc-east-c", "upstream 4")];
    for (index, (zone, name)) in places.into_iter().enumerate() {
        // Half of the upstreams, as `garble` does where a day names no share.
        let spoils = trouble && index >= 2;
        fleet.add(zone, "huvo11a", "v1", 9, upstream(record.clone(), name, spoils))?;
    }
    fleet.keep_beating(9);
    if !fleet.wait_served(HOST, "/lepu270/warm", Duration::from_secs(20)) {
        return Ok(Verdict::NotRun);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let sums = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    for index in 0..4 {
        for number in 0..8 {
            client(&fleet, index, number, stop.clone(), sums.clone());
        }
    }
    let ends = Mutex::new([0_u32; 4]);
    let mut restart = [None; 4];
    let mut most = [0; 4];
    let started = Instant::now();
    while started.elapsed() < RUN {
        thread::sleep(Duration::from_millis(10));
        for index in 0..4 {
            if let Some(at) = restart[index] {
                if Instant::now() >= at {
                    restart[index] = None;
                    fleet.start(index)?;
                }
                continue;
            }
            let memory = fleet.machines[index].memory_kb("VmRSS").unwrap_or(0) / 1024;
            most[index] = most[index].max(memory);
            let machine = &mut fleet.machines[index];
            let over = memory > MEMORY_MB;
            if over || machine.ended().is_some() {
                // As DEPLOY.md says: a process that exceeds memoryMb is killed, and restarted after a short delay.
                machine.kill();
                ends.lock().unwrap()[index] += 1;
                record.add(format!("{} is at {memory} MB of {MEMORY_MB} MB and is killed", machine.name));
                restart[index] = Some(Instant::now() + Duration::from_secs(1));
            }
        }
    }
    stop.store(true, Ordering::Relaxed);
    let ends = *ends.lock().unwrap();
    let failed = sums[1].load(Ordering::Relaxed);
    record.add(format!("clients sent {} requests, {failed} ended without a whole answer", sums[0].load(Ordering::Relaxed)));
    record.add(format!("largest memory by machine {most:?} MB; ends by machine {ends:?}"));
    // Two machines of four at least, three times each.
    let broken = ends.iter().filter(|count| **count >= 3).count() >= 2;
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
