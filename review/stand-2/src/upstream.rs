//! An upstream beside a node: its heartbeats, and the requests that reach it.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, header};
use crate::record::Record;

/// Answers a request that runs; returns whether the connection is kept.
pub type Work = Arc<dyn Fn(&Upstream, &Request, &mut TcpStream) -> bool + Send + Sync>;

/// An upstream; clones share it.
#[derive(Clone)]
pub struct Upstream {
    pub shared: Arc<Shared>,
}

pub struct Shared {
    /// Name of the upstream; the id of its present start goes on from it.
    pub id: String,
    live: Mutex<Live>,
    /// Set while it is down.
    crash: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: u32,
    sequence: AtomicU64,
    state: Mutex<&'static str>,
    ended: AtomicBool,
    /// Requests that began to run.
    pub runs: Mutex<Vec<Run>>,
    record: Record,
    work: Work,
}

/// One start of an upstream.
#[derive(Clone)]
struct Live {
    id: String,
    /// Unix millisecond of the start.
    born: u64,
}

impl Live {
    fn new(id: String) -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let born = u64::try_from(since.as_millis()).expect("milliseconds");
        Self { id, born }
    }
}

/// A request that began to run.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
}

impl Upstream {
    /// An upstream at `address` that runs requests by `work`.
    pub fn start(
        id: &str,
        (service, version, zone): (&str, &str, &str),
        (address, slots): (SocketAddr, u32),
        record: &Record,
        work: Work,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the upstream's port is free");
        let shared = Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            live: Mutex::new(Live::new(id.to_owned())),
            crash: AtomicBool::new(false),
            open: Mutex::default(),
            sequence: AtomicU64::new(0),
            state: Mutex::new("ready"),
            ended: AtomicBool::new(false),
            runs: Mutex::default(),
            record: record.clone(),
            work,
        };
        let upstream = Self {
            shared: Arc::new(shared),
        };
        let serving = upstream.clone();
        thread::spawn(move || serving.serve(listener));
        upstream
    }

    /// Takes connections, and is down for a while after each crash.
    fn serve(&self, listener: TcpListener) {
        /// How long it is down after a crash.
        const DOWN: Duration = Duration::from_secs(2);
        let mut listener = listener;
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.shared.crash.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let kept = stream.try_clone();
                        self.shared.open.lock().expect("no panic").extend(kept);
                        let serving = self.clone();
                        thread::spawn(move || serving.talk(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            for stream in self.shared.open.lock().expect("no panic").drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            thread::sleep(DOWN);
            listener = loop {
                match TcpListener::bind(self.shared.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            let next = Live::new(format!(
                "{}-{}",
                self.shared.id,
                Live::new(String::new()).born
            ));
            self.shared
                .record
                .line(&format!("start   {} again, as {}", self.shared.id, next.id));
            *self.shared.live.lock().expect("no panic") = next;
            self.shared.sequence.store(0, Ordering::Relaxed);
            self.shared.crash.store(false, Ordering::Relaxed);
        }
    }

    /// Crashes: its listener and all of its connections close, and it is back with another id.
    pub fn crash(&self) {
        self.shared
            .record
            .line(&format!("crash   {}", self.shared.id));
        self.shared.crash.store(true, Ordering::Relaxed);
    }

    fn live(&self) -> Live {
        self.shared.live.lock().expect("no panic").clone()
    }

    /// Sends heartbeats to `announce`, one each `every`.
    pub fn beat(&self, announce: SocketAddr, every: Duration) {
        let beating = self.clone();
        thread::spawn(move || {
            while !beating.shared.ended.load(Ordering::Relaxed) {
                let taken = beating
                    .beat_once(announce)
                    .is_some_and(|status| status < 300);
                // Until the first one is taken, the node may not listen yet.
                let early = !taken && beating.shared.sequence.load(Ordering::Relaxed) < 100;
                thread::sleep(if early {
                    Duration::from_millis(100)
                } else {
                    every
                });
            }
        });
    }

    /// Sends one heartbeat; its status, if it was answered within a second.
    pub fn beat_once(&self, announce: SocketAddr) -> Option<u16> {
        let shared = &self.shared;
        if shared.crash.load(Ordering::Relaxed) {
            return None;
        }
        let live = self.live();
        let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = *shared.state.lock().expect("no panic");
        let body = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"{}","zone":"{}","capacity":{}}},"status":{{"state":"{state}","sequence":{sequence},"warmupLeftS":0}}}}"#,
            shared.address, live.born, shared.service, shared.version, shared.zone, shared.slots
        );
        let path = format!("/v1/instances/{}", live.id);
        let json = [("Content-Type", "application/json")];
        let answer = http::ask(
            announce,
            "PUT",
            &path,
            &json,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        answer.ok().map(|answer| answer.status)
    }

    /// Ends it: no heartbeat follows.
    pub fn end(&self) {
        self.shared.ended.store(true, Ordering::Relaxed);
    }

    /// Requests that began to run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("no panic").clone()
    }

    fn talk(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let id = self.live().id;
            let kept = if request.target == "/health" {
                let named = [("X-Upstream-Instance", id.as_str())];
                http::write_answer(&mut writer, 200, &named, b"").is_ok()
            } else if header(&request.headers, "x-expected-instance")
                .is_some_and(|named| named != id)
            {
                let named = [("X-Upstream-Instance", id.as_str())];
                http::write_answer(&mut writer, 421, &named, b"").is_ok()
            } else {
                self.run(&request, &mut writer)
            };
            if !kept {
                return;
            }
        }
    }

    fn run(&self, request: &Request, to: &mut TcpStream) -> bool {
        let attempt = header(&request.headers, "x-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let tenant = header(&request.headers, "x-tenant-id").unwrap_or("none");
        let passed = header(&request.headers, "authorization").unwrap_or("none");
        self.shared.record.line(&format!(
            "run     {attempt} at {} ({}), {} {}, X-Tenant-Id {tenant}, Authorization {passed}",
            self.shared.id, self.shared.service, request.method, request.target
        ));
        self.shared.runs.lock().expect("no panic").push(Run {
            attempt,
            at: Instant::now(),
        });
        (self.shared.work.clone())(self, request, to)
    }
}

/// Answers at once with a short body.
pub fn answer_at_once(upstream: &Upstream, request: &Request, to: &mut TcpStream) -> bool {
    let attempt = header(&request.headers, "x-attempt-id").unwrap_or_default();
    let signature = format!("sig-{}-{attempt}", upstream.shared.id);
    let headers = [
        ("X-Attempt-Id", attempt),
        ("X-Upstream-Signature", signature.as_str()),
    ];
    http::write_answer(to, 200, &headers, b"done").is_ok()
}
