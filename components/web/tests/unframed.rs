//! Answers whose end is the close of their connection: a whole one ends plainly, another with a reset.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_channel::oneshot;
use hyper::body::Incoming;
use web::clients;

/// Length of a part of a body, in bytes.
const PIECE_BYTES: usize = 8_000;
/// Parts of a whole body, fewer than the sockets of both sides hold.
const PIECES: usize = 24;
/// Parts of a body that no client reads whole, more than the sockets of both sides hold.
const ENDLESS: usize = 2_500;
/// Parts that come before a body waits, breaks off or panics.
const FIRST: usize = 2;
/// Time in which what is sent has come.
const SETTLED: Duration = Duration::from_millis(300);

/// Behaviour of a body after its first parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Act {
    Goes,
    Waits,
    Breaks,
    Panics,
}

/// Body of pieces, without a length.
struct Pieces {
    given: usize,
    total: usize,
    act: Act,
    gate: Option<oneshot::Receiver<()>>,
}

impl http_body::Body for Pieces {
    type Data = Bytes;
    type Error = web::Fault;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, web::Fault>>> {
        if self.given == FIRST
            && let Some(gate) = &mut self.gate
        {
            // The parts before are written first.
            task::ready!(pin::Pin::new(gate).poll(context)).expect("the test lives");
            self.gate = None;
            match self.act {
                Act::Breaks => return task::Poll::Ready(Some(Err(web::Fault::Cut))),
                Act::Panics => panic!("the body panics, as the test wants"),
                Act::Goes | Act::Waits => {}
            }
        }
        if self.given == self.total {
            return task::Poll::Ready(None);
        }
        self.given += 1;
        let piece = Bytes::from(vec![b'a'; PIECE_BYTES]);
        task::Poll::Ready(Some(Ok(http_body::Frame::data(piece))))
    }
}

/// Answers without a length; clients of HTTP/1.1 are told so by the mark.
#[derive(Clone)]
struct Scripted {
    act: Act,
    /// Parts of each body.
    total: usize,
    gate: rc::Rc<cell::RefCell<Option<oneshot::Receiver<()>>>>,
}

impl web::Handler for Scripted {
    type Body = Pieces;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Pieces> {
        let mut answer = http::Response::new(Pieces {
            given: 0,
            total: self.total,
            act: self.act,
            gate: self.gate.borrow_mut().take(),
        });
        if request.version() == http::Version::HTTP_11 {
            web::mark_unframed(&mut answer);
        }
        answer
    }
}

/// How a connection is served: requests side by side or one after the other, and the client's version.
type Served = (usize, &'static str);

const SERVED: [Served; 4] = [(0, "1.1"), (0, "1.0"), (8, "1.1"), (8, "1.0")];

struct Bench {
    stream: TcpStream,
    gate: Option<oneshot::Sender<()>>,
    _trigger: kernel::Trigger,
}

impl Bench {
    /// A client that has sent one request.
    async fn open(served: Served, act: Act) -> Self {
        Self::open_with(served, act, PIECES, clients::Limits::NONE).await
    }

    /// As [`Bench::open`], with bodies of `total` parts.
    async fn open_with(
        (pipelined, version): Served,
        act: Act,
        total: usize,
        clients: clients::Limits,
    ) -> Self {
        let any = "127.0.0.1:0".parse().expect("it is an address");
        let limits = web::Limits {
            pipelined,
            clients,
            ..web::Limits::default()
        };
        let server = web::Server::bind(any, limits).await.expect("a free port");
        let address = server.address().expect("it is bound");
        let (trigger, stop) = kernel::stop();
        let (gate, waiting) = oneshot::channel();
        let waiting = (act != Act::Goes).then_some(waiting);
        let scripted = Scripted {
            act,
            total,
            gate: rc::Rc::new(cell::RefCell::new(waiting)),
        };
        compio::runtime::spawn(server.run(scripted, stop)).detach();
        let mut stream = TcpStream::connect(address.0).await.expect("it listens");
        let request = format!("GET / HTTP/{version}\r\nhost: menus.example\r\n\r\n");
        let sent = stream.write_all(request.into_bytes()).await;
        sent.0.expect("it takes the bytes");
        Self {
            stream,
            gate: Some(gate),
            _trigger: trigger,
        }
    }

    /// Lets the body go on.
    fn go_on(&mut self) {
        let gate = self.gate.take().expect("it waits");
        gate.send(()).expect("the body waits");
    }

    /// Reads to the end of the connection: the length of the body, and how it ended.
    async fn read(&mut self) -> (usize, Result<(), io::ErrorKind>) {
        let mut text = Vec::new();
        let end = loop {
            let read = self.stream.read(vec![0; 64 * 1024]).await;
            match read.0 {
                Ok(0) => break Ok(()),
                Ok(count) => text.extend_from_slice(&read.1[..count]),
                Err(error) => break Err(error.kind()),
            }
        };
        let body = text.iter().rev().take_while(|byte| **byte == b'a').count();
        (body, end)
    }
}

/// Guards against whole answers whose last bytes a reset takes from a client that reads late.
#[compio::test]
async fn whole_answer_that_is_read_late_ends_plainly() {
    for served in SERVED {
        let mut bench = Bench::open(served, Act::Goes).await;
        // Longer than the server waits for the client to close.
        compio::time::sleep(2 * SETTLED).await;
        let read = bench.read().await;
        assert_eq!(read, (PIECES * PIECE_BYTES, Ok(())), "{served:?}");
    }
}

/// Guards against answers that end early and plainly: their body breaks off, or its task panics (MIXED).
#[compio::test]
async fn answer_that_breaks_off_is_reset() {
    for act in [Act::Breaks, Act::Panics] {
        for served in SERVED {
            let mut bench = Bench::open(served, act).await;
            compio::time::sleep(SETTLED).await;
            bench.go_on();
            let (bytes, end) = bench.read().await;
            let case = format!("{act:?}, {served:?}, {bytes} bytes");
            assert_eq!(bytes, FIRST * PIECE_BYTES, "{case}");
            assert_eq!(end, Err(io::ErrorKind::ConnectionReset), "{case}");
        }
    }
}

/// Guards against a short answer that looks whole to a client that has closed its sending side (MIXED).
#[compio::test]
async fn half_closed_client_gets_no_short_answer() {
    for served in SERVED {
        let mut bench = Bench::open(served, Act::Waits).await;
        compio::time::sleep(SETTLED).await;
        let socket = rustix::net::shutdown(&bench.stream, rustix::net::Shutdown::Write);
        socket.expect("it is open");
        compio::time::sleep(SETTLED).await;
        // The server may have given the request up already.
        let _ = bench.gate.take().map(|gate| gate.send(()));
        let (bytes, end) = bench.read().await;
        let is_whole = bytes == PIECES * PIECE_BYTES;
        assert!(
            is_whole || end.is_err(),
            "{served:?}: {bytes} bytes, {end:?}"
        );
    }
}

/// Guards against a short answer that looks whole, since its client took too little and was closed (MIXED).
#[compio::test]
async fn answer_of_closed_client_is_reset() {
    let limits = clients::Limits {
        period: SETTLED,
        least: u64::MAX,
        ..clients::Limits::NONE
    };
    for served in SERVED {
        let mut bench = Bench::open_with(served, Act::Goes, ENDLESS, limits).await;
        compio::time::sleep(4 * SETTLED).await;
        let (bytes, end) = bench.read().await;
        assert!(bytes < ENDLESS * PIECE_BYTES, "{served:?}: it is whole");
        assert_eq!(end, Err(io::ErrorKind::ConnectionReset), "{served:?}");
    }
}
