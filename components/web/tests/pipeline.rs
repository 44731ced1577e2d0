//! Requests that a client sends ahead are worked on side by side and answered in order.

use std::cell;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_channel::oneshot;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use web::Body;

/// What a request to a path waits for.
type Gate = (&'static str, oneshot::Receiver<()>);

/// Answers with its path and body; a path with a gate waits for that first.
#[derive(Clone, Default)]
struct Gated {
    gates: rc::Rc<cell::RefCell<Vec<Gate>>>,
    entered: rc::Rc<cell::RefCell<Vec<String>>>,
    cancelled: rc::Rc<cell::Cell<u32>>,
}

/// Counts a request that is dropped before its answer.
struct Entry {
    cancelled: rc::Rc<cell::Cell<u32>>,
    answered: bool,
}

impl Drop for Entry {
    fn drop(&mut self) {
        if !self.answered {
            self.cancelled.set(self.cancelled.get() + 1);
        }
    }
}

impl Gated {
    fn gate(&self, path: &'static str) -> oneshot::Sender<()> {
        let (sender, receiver) = oneshot::channel();
        self.gates.borrow_mut().push((path, receiver));
        sender
    }

    async fn until_entered(&self, count: usize) {
        for _ in 0..500 {
            if self.entered.borrow().len() >= count {
                return;
            }
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        panic!("only {:?} were taken", self.entered.borrow());
    }
}

impl web::Handler for Gated {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Body> {
        let mut entry = Entry {
            cancelled: self.cancelled.clone(),
            answered: false,
        };
        let path = request.uri().path().to_owned();
        self.entered.borrow_mut().push(path.clone());
        let gate = {
            let mut gates = self.gates.borrow_mut();
            let place = gates.iter().position(|gate| gate.0 == path);
            place.map(|place| gates.remove(place).1)
        };
        if let Some(gate) = gate {
            let _ = gate.await;
        }
        let body = request.into_body().collect().await.expect("a whole body");
        entry.answered = true;
        let text = format!("{path}{}", String::from_utf8_lossy(&body.to_bytes()));
        http::Response::new(Body::from(Bytes::from(text)))
    }
}

struct Bench {
    gated: Gated,
    stream: TcpStream,
    trigger: kernel::Trigger,
    task: compio::runtime::JoinHandle<()>,
}

impl Bench {
    async fn open() -> Self {
        let any = "127.0.0.1:0".parse().expect("it is an address");
        let limits = web::Limits {
            pipelined: 4,
            ..web::Limits::default()
        };
        let server = web::Server::bind(any, limits).await.expect("a free port");
        let address = server.address().expect("it is bound");
        let (trigger, stop) = kernel::stop();
        let gated = Gated::default();
        let task = compio::runtime::spawn(server.run(gated.clone(), stop));
        let stream = TcpStream::connect(address.0).await.expect("it listens");
        Self {
            gated,
            stream,
            trigger,
            task,
        }
    }

    async fn send(&mut self, text: &str) {
        let sent = self.stream.write_all(text.as_bytes().to_vec()).await;
        sent.0.expect("it takes the bytes");
    }

    /// Reads until `end` has come, or the server has closed the connection.
    async fn read_until(&mut self, end: &str) -> String {
        let mut text = String::new();
        while !text.contains(end) {
            let reading = self.stream.read(vec![0; 4096]);
            let read = compio::time::timeout(Duration::from_secs(5), reading).await;
            let (count, bytes) = {
                let result = read.expect("an answer in time");
                (result.0.unwrap_or(0), result.1)
            };
            if count == 0 {
                return text;
            }
            text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }
        text
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: menus.example\r\n\r\n")
}

#[compio::test]
async fn requests_side_by_side() {
    let mut bench = Bench::open().await;
    let gate = bench.gated.gate("/first");
    let sent = [get("/first"), get("/second"), get("/third")].concat();
    bench.send(&sent).await;
    bench.gated.until_entered(3).await;
    gate.send(()).expect("the first request waits");
    let text = bench.read_until("/third").await;
    let places = ["/first", "/second", "/third"].map(|path| text.find(path));
    assert!(places.is_sorted(), "{text}");
    assert!(places[0].is_some(), "{text}");
    assert!(!text.contains("connection: close"), "{text}");
}

#[compio::test]
async fn requests_beyond_the_limit() {
    let mut bench = Bench::open().await;
    let gate = bench.gated.gate("/0");
    let sent: Vec<_> = (0..7).map(|index| get(&format!("/{index}"))).collect();
    bench.send(&sent.concat()).await;
    bench.gated.until_entered(4).await;
    compio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(bench.gated.entered.borrow().len(), 4);
    gate.send(()).expect("the first request waits");
    let text = bench.read_until("/6").await;
    assert_eq!(text.matches("200 OK").count(), 7, "{text}");
}

#[compio::test]
async fn client_gone_behind_unread_requests() {
    let mut bench = Bench::open().await;
    let _gates: Vec<_> = ["/0", "/1", "/2", "/3"]
        .map(|path| bench.gated.gate(path))
        .into();
    let sent: Vec<_> = (0..6).map(|index| get(&format!("/{index}"))).collect();
    bench.send(&sent.concat()).await;
    bench.gated.until_entered(4).await;
    bench.stream.close().await.expect("it closes");
    for _ in 0..100 {
        if bench.gated.cancelled.get() == 4 {
            return;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{} requests were cancelled", bench.gated.cancelled.get());
}

#[compio::test]
async fn bodies_after_pipelined_requests() {
    let mut bench = Bench::open().await;
    let gate = bench.gated.gate("/first");
    let post = "POST /post HTTP/1.1\r\nhost: menus.example\r\ncontent-length: 5\r\n\r\nmenus";
    let sent = [get("/first"), post.to_owned(), get("/last")].concat();
    bench.send(&sent).await;
    bench.gated.until_entered(1).await;
    compio::time::sleep(Duration::from_millis(30)).await;
    gate.send(()).expect("the first request waits");
    let text = bench.read_until("/last").await;
    assert!(text.contains("/postmenus"), "{text}");
    let places = ["/first", "/postmenus", "/last"].map(|path| text.find(path));
    assert!(places.is_sorted(), "{text}");
}

#[compio::test]
async fn heads_in_pieces() {
    let mut bench = Bench::open().await;
    for piece in [
        "GE",
        "T /pie",
        "ces HTTP/1.1\r\nhost: menus",
        ".example\r\n\r",
    ] {
        bench.send(piece).await;
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    bench.send("\n").await;
    let text = bench.read_until("/pieces").await;
    assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
}

#[compio::test]
async fn stop_answers_what_was_taken() {
    let mut bench = Bench::open().await;
    let gate = bench.gated.gate("/first");
    bench.send(&[get("/first"), get("/second")].concat()).await;
    bench.gated.until_entered(2).await;
    bench.trigger.fire();
    compio::time::sleep(Duration::from_millis(20)).await;
    gate.send(()).expect("the first request waits");
    let Bench { stream, task, .. } = bench;
    let mut stream = stream;
    let mut text = String::new();
    loop {
        let (count, bytes) = {
            let read = stream.read(vec![0; 4096]).await;
            (read.0.unwrap_or(0), read.1)
        };
        if count == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    assert_eq!(text.matches("200 OK").count(), 2, "{text}");
    stream.close().await.expect("it closes");
    task.await.expect("the server stops");
}
