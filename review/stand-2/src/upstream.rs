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
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: u32,
    born: u64,
    sequence: AtomicU64,
    state: Mutex<&'static str>,
    ended: AtomicBool,
    /// Requests that began to run.
    pub runs: Mutex<Vec<Run>>,
    record: Record,
    work: Work,
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
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let listener = TcpListener::bind(address).expect("the upstream's port is free");
        let shared = Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            born: u64::try_from(born.as_millis()).expect("milliseconds"),
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
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.talk(stream));
            }
        });
        upstream
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
        let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = *shared.state.lock().expect("no panic");
        let body = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"{}","zone":"{}","capacity":{}}},"status":{{"state":"{state}","sequence":{sequence},"warmupLeftS":0}}}}"#,
            shared.address, shared.born, shared.service, shared.version, shared.zone, shared.slots
        );
        let path = format!("/v1/instances/{}", shared.id);
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
            let kept = if request.target == "/health" {
                let named = [("X-Upstream-Instance", self.shared.id.as_str())];
                http::write_answer(&mut writer, 200, &named, b"").is_ok()
            } else if header(&request.headers, "x-expected-instance")
                .is_some_and(|id| id != self.shared.id)
            {
                let named = [("X-Upstream-Instance", self.shared.id.as_str())];
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
