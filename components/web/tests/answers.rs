//! Answers on a connection with several requests: each whole or cut, never filled up, held within bounds.

use std::cell;
use std::pin;
use std::rc;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_channel::oneshot;
use hyper::body::Incoming;

const PIECE_BYTES: usize = 8_000;
/// Pieces of a body that no caller reads whole.
const ENDLESS_PIECES: usize = 5_000;
/// Bytes that the sockets of both sides hold at most.
const SOCKETS_BYTES: usize = 16 * 1024 * 1024;

/// How a body ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    Whole,
    Breaks,
    Broken,
}

/// Body of pieces, without a length of its own.
struct Pieces {
    left: usize,
    ending: Ending,
    given: rc::Rc<cell::Cell<usize>>,
}

impl http_body::Body for Pieces {
    type Data = Bytes;
    type Error = web::Fault;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, web::Fault>>> {
        match (self.left, self.ending) {
            (0, Ending::Whole) => return task::Poll::Ready(None),
            (0, Ending::Broken) => return task::Poll::Ready(Some(Err(web::Fault::Cut))),
            (0, Ending::Breaks) => {
                // The pieces are written before the body breaks off.
                self.ending = Ending::Broken;
                context.waker().wake_by_ref();
                return task::Poll::Pending;
            }
            _ => {}
        }
        self.left -= 1;
        self.given.set(self.given.get() + PIECE_BYTES);
        let piece = Bytes::from(vec![b'a'; PIECE_BYTES]);
        task::Poll::Ready(Some(Ok(http_body::Frame::data(piece))))
    }
}

/// Answers by the path: `/broken`, `/endless`, `/gated`, a number of pieces, or one piece.
#[derive(Clone, Default)]
struct Scripted {
    gate: rc::Rc<cell::RefCell<Option<oneshot::Receiver<()>>>>,
    given: rc::Rc<cell::Cell<usize>>,
}

impl Scripted {
    /// Waits until bodies are asked for no more; returns the bytes that they gave.
    async fn until_still(&self) -> usize {
        let mut given = 0;
        loop {
            compio::time::sleep(Duration::from_millis(200)).await;
            if self.given.get() == given {
                return given;
            }
            given = self.given.get();
        }
    }
}

impl web::Handler for Scripted {
    type Body = Pieces;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Pieces> {
        let path = request.uri().path();
        let (left, ending) = match path {
            "/broken" => (1, Ending::Breaks),
            "/endless" => (ENDLESS_PIECES, Ending::Whole),
            _ => (path[1..].parse().unwrap_or(1), Ending::Whole),
        };
        if matches!(path, "/gated" | "/broken") {
            let gate = self.gate.borrow_mut().take();
            if let Some(gate) = gate {
                let _ = gate.await;
            }
        }
        let body = Pieces {
            left,
            ending,
            given: self.given.clone(),
        };
        let answer = http::Response::builder().header("x-path", request.uri().path());
        let answer = match left {
            ENDLESS_PIECES => answer,
            _ => answer.header("content-length", length(left, ending)),
        };
        answer.body(body).expect("the head is valid")
    }
}

/// Announced bytes of a body of `pieces`; one that breaks off announces another piece.
fn length(pieces: usize, ending: Ending) -> usize {
    (pieces + usize::from(ending != Ending::Whole)) * PIECE_BYTES
}

struct Bench {
    scripted: Scripted,
    trigger: Option<kernel::Trigger>,
    stream: TcpStream,
}

impl Bench {
    async fn open() -> Self {
        let any = "127.0.0.1:0".parse().expect("it is an address");
        let limits = web::Limits {
            pipelined: 8,
            ..web::Limits::default()
        };
        let server = web::Server::bind(any, limits).await.expect("a free port");
        let address = server.address().expect("it is bound");
        let (trigger, stop) = kernel::stop();
        let scripted = Scripted::default();
        compio::runtime::spawn(server.run(scripted.clone(), stop)).detach();
        let stream = TcpStream::connect(address.0).await.expect("it listens");
        Self {
            scripted,
            trigger: Some(trigger),
            stream,
        }
    }

    fn gate(&self) -> oneshot::Sender<()> {
        let (sender, receiver) = oneshot::channel();
        *self.scripted.gate.borrow_mut() = Some(receiver);
        sender
    }

    async fn send(&mut self, requests: &[&str]) {
        let sent = self.stream.write_all(requests.concat().into_bytes()).await;
        sent.0.expect("it takes the bytes");
    }

    /// Reads until `bytes` have come, the server closes, or nothing comes for half a second.
    async fn read(&mut self, bytes: usize) -> String {
        let mut text = Vec::new();
        while text.len() < bytes {
            let reading = self.stream.read(vec![0; 16 * 1024]);
            let Ok(read) = compio::time::timeout(Duration::from_millis(500), reading).await else {
                break;
            };
            let count = read.0.unwrap_or(0);
            if count == 0 {
                break;
            }
            text.extend_from_slice(&read.1[..count]);
        }
        String::from_utf8(text).expect("it is text")
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: menus.example\r\n\r\n")
}

const POST: &str = "POST /post HTTP/1.1\r\nhost: menus.example\r\ncontent-length: 5\r\n\r\nmenus";

/// A request with a body behind an answer that breaks off must not fill that answer up.
#[compio::test]
async fn broken_answer_is_not_filled_up_by_next() {
    let mut bench = Bench::open().await;
    let gate = bench.gate();
    bench.send(&[&get("/broken"), POST]).await;
    compio::time::sleep(Duration::from_millis(30)).await;
    gate.send(()).expect("the first request waits");
    let text = bench.read(usize::MAX).await;
    assert!(text.contains("x-path: /broken"), "{text}");
    assert!(
        !text.contains("x-path: /post"),
        "an answer follows a cut one"
    );
}

/// A request with a body behind an answer that says `Connection: close` gets no answer after that one.
#[compio::test]
async fn closing_answer_is_last_before_body() {
    let mut bench = Bench::open().await;
    let gate = bench.gate();
    let closing = "GET /gated HTTP/1.1\r\nhost: menus.example\r\nconnection: close\r\n\r\n";
    bench.send(&[closing, POST]).await;
    compio::time::sleep(Duration::from_millis(30)).await;
    gate.send(()).expect("the first request waits");
    let text = bench.read(usize::MAX).await;
    assert!(text.contains("connection: close"), "{text}");
    assert!(
        !text.contains("x-path: /post"),
        "an answer follows the last"
    );
}

/// A stop while a request with a body waits behind another: both are answered, the last says so.
#[compio::test]
async fn stop_answers_body_behind_another() {
    let mut bench = Bench::open().await;
    let gate = bench.gate();
    bench.send(&[&get("/gated"), POST]).await;
    compio::time::sleep(Duration::from_millis(30)).await;
    bench.trigger.take().expect("it serves").fire();
    compio::time::sleep(Duration::from_millis(30)).await;
    gate.send(()).expect("the first request waits");
    let text = bench.read(usize::MAX).await;
    let places =
        ["x-path: /gated", "x-path: /post", "connection: close"].map(|part| text.find(part));
    assert!(places.iter().all(Option::is_some), "{places:?}");
    assert!(places.is_sorted(), "{places:?}");
}

/// A long answer that waits behind a slow one keeps its end.
#[compio::test]
async fn long_answer_behind_slow_one_is_whole() {
    for pieces in [7, 8, 9, 10, 11, 12, 16, 20] {
        let mut bench = Bench::open().await;
        let gate = bench.gate();
        let path = format!("/{pieces}");
        bench
            .send(&[&get("/gated"), &get(&path), &get("/next")])
            .await;
        compio::time::sleep(Duration::from_millis(100)).await;
        gate.send(()).expect("the first request waits");
        let text = bench.read(usize::MAX).await;
        let start = format!("x-path: {path}\r\n");
        let long = text.split(&start).nth(1).expect("it is answered");
        let body = long.split_once("\r\n\r\n").expect("it has a head").1;
        let whole = body.bytes().take_while(|byte| *byte == b'a').count();
        assert_eq!(whole, length(pieces, Ending::Whole), "{pieces} pieces");
        assert!(text.contains("x-path: /next"), "{pieces} pieces");
    }
}

/// An answer without end to a caller that reads nothing is not kept in memory.
#[compio::test]
async fn endless_answer_waits_for_slow_caller() {
    let mut bench = Bench::open().await;
    bench.send(&[&get("/endless")]).await;
    let given = bench.scripted.until_still().await;
    assert!(given < SOCKETS_BYTES, "{given} bytes were taken");
}
