//! Backend servers that send bytes without end which are no answer.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use node::call::Settings;
use upstream::Protocol;

use crate::caller::Caller;
use crate::fleet::Fleet;

/// Timeout of the route.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond it in which the request has its end and the connection is closed.
const SLACK: Duration = Duration::from_millis(1_500);
/// Time after which the server gives up sending.
const LONGEST: Duration = Duration::from_secs(8);

/// A server that answers each request with `start`, and then with `filler` until its caller closes.
struct Endless {
    address: units::Address,
    closed: Arc<AtomicBool>,
}

impl Endless {
    fn start(start: &'static str, filler: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = units::Address(listener.local_addr().expect("it is bound"));
        let closed = Arc::new(AtomicBool::new(false));
        let told = closed.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let told = told.clone();
                std::thread::spawn(move || answer(stream, start, filler, &told));
            }
        });
        Self { address, closed }
    }
}

fn answer(mut stream: TcpStream, start: &str, filler: &str, closed: &AtomicBool) {
    let mut request = [0; 4096];
    if stream.read(&mut request).unwrap_or(0) == 0 {
        return;
    }
    let block = filler.repeat(16 * 1024 / filler.len());
    let began = Instant::now();
    let mut sent = stream.write_all(start.as_bytes());
    while sent.is_ok() && began.elapsed() < LONGEST {
        sent = stream.write_all(block.as_bytes());
    }
    closed.store(sent.is_err(), Ordering::Relaxed);
}

/// What the caller gets.
#[derive(Debug, PartialEq, Eq)]
enum End {
    /// The system's own answer that says so, or the backend server's, broken off.
    Failed,
    /// The backend server's answer, whole.
    Whole,
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

const CASES: [(&str, &str, &str, End); 10] = [
    ("no answer", "", "menu ", End::Failed),
    ("a header line", "HTTP/1.1 200 OK\r\nx: ", "a", End::Failed),
    ("headers", "HTTP/1.1 200 OK\r\n", "x: a\r\n", End::Failed),
    (
        "interim answers",
        "",
        "HTTP/1.1 100 Continue\r\n\r\n",
        End::Failed,
    ),
    ("a chunk's size", CHUNKED, "0", End::Failed),
    (
        "a chunk's extension",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;",
        "a",
        End::Failed,
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x: a\r\n",
        End::Failed,
    ),
    ("chunks", CHUNKED, "4\r\nmenu\r\n", End::Failed),
    (
        "a body without length",
        "HTTP/1.1 200 OK\r\n\r\n",
        "menu",
        End::Failed,
    ),
    (
        "bytes after the answer",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmenu",
        "menu",
        End::Whole,
    ),
];

#[compio::test]
async fn answer_without_end_cases() {
    for (name, start, filler, wanted) in CASES {
        let server = Endless::start(start, filler);
        let mut settings = Settings::default();
        settings.upstream.backend_protocol = Protocol::Http1;
        settings.retry.attempts = 1;
        let mut fleet = Fleet::with(&[server.address], settings).await;
        let ingress = fleet.add_ingress().await;
        let caller = Caller::open(fleet.nodes[ingress].callers).await;
        let began = Instant::now();
        let got = compio::time::timeout(LONGEST, caller.skim("/menu")).await;
        let took = began.elapsed();
        let Ok((status, whole)) = got else {
            panic!("{name}: no end after {took:?}");
        };
        let end = match (status, whole) {
            (502 | 504, true) | (200, false) => End::Failed,
            (200, true) => End::Whole,
            other => panic!("{name}: {other:?}"),
        };
        assert_eq!(end, wanted, "{name}");
        assert!(took < TIMEOUT + SLACK, "{name}: it took {took:?}");
        while !server.closed.load(Ordering::Relaxed) {
            let took = began.elapsed();
            assert!(took < TIMEOUT + 2 * SLACK, "{name}: open after {took:?}");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
