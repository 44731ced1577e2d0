//! The memory that the clients of a listener hold is bounded, and a client that takes its answers keeps its
//! connection.

use std::cell;
use std::rc;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_channel::oneshot;
use hyper::body::Incoming;
use web::{Body, clients};

/// Length of a long answer, in bytes: more than sockets hold on both sides.
const LONG: usize = 16 * 1024 * 1024;

/// Answers `/long` with many bytes and `/gate` once its gate opens; says whether memory was short.
#[derive(Clone, Default)]
struct Answering {
    gate: rc::Rc<cell::RefCell<Option<oneshot::Receiver<()>>>>,
}

impl web::Handler for Answering {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Body> {
        let is_short = request.extensions().get::<clients::Short>().is_some();
        if request.uri().path() == "/long" {
            return http::Response::new(Body::from("x".repeat(LONG)));
        }
        let gate = self.gate.borrow_mut().take();
        if let Some(gate) = gate {
            let _ = gate.await;
        }
        let text = if is_short { "short" } else { "served" };
        http::Response::new(Body::from(text.to_owned()))
    }
}

struct Bench {
    address: units::Address,
    clients: clients::Monitor,
    _trigger: kernel::Trigger,
}

impl Bench {
    async fn open(handler: Answering, limits: web::Limits) -> Self {
        let any = "127.0.0.1:0".parse().expect("it is an address");
        let server = web::Server::bind(any, limits).await.expect("a free port");
        let address = server.address().expect("it is bound");
        let clients = server.clients();
        let (trigger, stop) = kernel::stop();
        compio::runtime::spawn(server.run(handler, stop)).detach();
        Self {
            address,
            clients,
            _trigger: trigger,
        }
    }

    /// A connection that has asked for `path`.
    async fn ask(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address.0)
            .await
            .expect("it listens");
        let text = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
        let sent = stream.write_all(text.into_bytes()).await;
        sent.0.expect("it takes the bytes");
        stream
    }

    async fn until_closed(&self, closed: impl Fn(clients::Counts) -> bool) {
        const LIMIT: Duration = Duration::from_secs(10);
        let started = Instant::now();
        while !closed(self.clients.counts()) {
            let counts = self.clients.counts();
            assert!(started.elapsed() < LIMIT, "{counts:?}");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Reads once, up to `bytes`.
async fn read(stream: &mut TcpStream, bytes: usize) -> Vec<u8> {
    let read = stream.read(vec![0; bytes]).await;
    let mut bytes = read.1;
    bytes.truncate(read.0.expect("it is open"));
    bytes
}

fn limits(pipelined: usize, clients: clients::Limits) -> web::Limits {
    web::Limits {
        pipelined,
        clients,
        ..web::Limits::default()
    }
}

#[compio::test]
async fn client_that_takes_nothing_is_closed() {
    for pipelined in [0, 4] {
        let bounds = clients::Limits {
            memory: u64::MAX,
            period: Duration::from_millis(200),
            least: 1,
        };
        let bench = Bench::open(Answering::default(), limits(pipelined, bounds)).await;
        let _stream = bench.ask("/long").await;
        bench.until_closed(|counts| counts.stuck == 1).await;
    }
}

#[compio::test]
async fn client_that_takes_its_answer_slowly_gets_it_whole() {
    for pipelined in [0, 4] {
        let bounds = clients::Limits {
            memory: u64::MAX,
            period: Duration::from_millis(1_000),
            least: 10 * 1024,
        };
        let bench = Bench::open(Answering::default(), limits(pipelined, bounds)).await;
        let mut stream = bench.ask("/long").await;
        let mut taken = 0;
        while taken < LONG {
            taken += read(&mut stream, LONG / 16).await.len();
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(bench.clients.counts(), clients::Counts::default());
    }
}

#[compio::test]
async fn memory_goes_first_from_the_client_that_takes_nothing() {
    for pipelined in [0, 4] {
        let bounds = clients::Limits {
            memory: 500 * 1024,
            ..clients::Limits::default()
        };
        let bench = Bench::open(Answering::default(), limits(pipelined, bounds)).await;
        let _stuck = bench.ask("/long").await;
        bench.until_closed(|counts| counts.for_memory == 1).await;
        let mut stream = bench.ask("/").await;
        let answer = read(&mut stream, 4096).await;
        assert!(answer.ends_with(b"served"), "pipelined: {pipelined}");
    }
}

#[compio::test]
async fn request_without_memory_is_marked_at_once() {
    for pipelined in [0, 4] {
        let bounds = clients::Limits {
            memory: 80 * 1024,
            ..clients::Limits::default()
        };
        let (opener, gate) = oneshot::channel();
        let handler = Answering::default();
        *handler.gate.borrow_mut() = Some(gate);
        let bench = Bench::open(handler.clone(), limits(pipelined, bounds)).await;
        let mut first = bench.ask("/gate").await;
        while handler.gate.borrow().is_some() {
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        let mut second = bench.ask("/").await;
        let answer = read(&mut second, 4096).await;
        assert!(answer.ends_with(b"short"), "pipelined: {pipelined}");
        let _ = opener.send(());
        let answer = read(&mut first, 4096).await;
        assert!(answer.ends_with(b"served"), "pipelined: {pipelined}");
    }
}

/// Guards against idle connections that keep all places from others.
#[compio::test]
async fn idle_connections_make_place() {
    const PLACES: usize = 4;
    let limits = web::Limits {
        connections: PLACES,
        ..limits(4, clients::Limits::default())
    };
    let bench = Bench::open(Answering::default(), limits).await;
    let mut idle = Vec::new();
    for _ in 0..PLACES {
        let connected = TcpStream::connect(bench.address.0).await;
        idle.push(connected.expect("it listens"));
    }
    let mut stream = bench.ask("/").await;
    let answer = read(&mut stream, 4096).await;
    assert!(answer.ends_with(b"served"));
    assert!(bench.clients.counts().for_place > 0);
}
