//! The server answers HTTP/1.1 and HTTP/2, and shuts down without cutting a request.

use std::cell;
use std::pin;
use std::rc;
use std::task;
use std::time;

use bytes::Bytes;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use futures_channel::oneshot;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use web::Body;

const PING: time::Duration = time::Duration::from_secs(5);

/// Answers with the request's body; waits for a gate first when there is one.
#[derive(Clone, Default)]
struct Echo {
    gate: rc::Rc<cell::RefCell<Option<oneshot::Receiver<()>>>>,
    entered: rc::Rc<cell::Cell<u32>>,
}

impl web::Handler for Echo {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Body> {
        self.entered.set(self.entered.get() + 1);
        let gate = self.gate.borrow_mut().take();
        if let Some(gate) = gate {
            let _ = gate.await;
        }
        http::Response::new(Body::Incoming(request.into_body()))
    }
}

async fn serve(
    echo: Echo,
) -> (
    units::Address,
    kernel::Trigger,
    compio::runtime::JoinHandle<()>,
) {
    let any = "127.0.0.1:0".parse().expect("it is an address");
    let server = web::Server::bind(any, web::Limits::default())
        .await
        .expect("a port is free");
    let address = server.address().expect("it is bound");
    let (trigger, stop) = kernel::stop();
    let task = compio::runtime::spawn(server.run(echo, stop));
    (address, trigger, task)
}

fn request(body: &'static str) -> http::Request<Body> {
    let mut request = http::Request::new(Body::from(Bytes::from_static(body.as_bytes())));
    *request.uri_mut() = http::Uri::from_static("http://sample.example/menu");
    request
}

async fn text(response: http::Response<Incoming>) -> Bytes {
    let body = response.into_body().collect().await;
    body.expect("the body is whole").to_bytes()
}

#[compio::test]
async fn run_http2() {
    let (address, trigger, task) = serve(Echo::default()).await;
    let mut connection = web::Connection::open(address, PING)
        .await
        .expect("it listens");
    let response = connection.send(request("soup")).await.expect("it answers");
    assert_eq!(text(response).await, "soup");
    drop(connection);
    trigger.fire();
    task.await.expect("it stops");
}

#[compio::test]
async fn run_http1() {
    let (address, trigger, task) = serve(Echo::default()).await;
    let mut stream = compio::net::TcpStream::connect(address.0)
        .await
        .expect("it listens");
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nconnection: close\r\n\r\nsoup";
    stream.write_all(head).await.0.expect("it reads");
    let answer = stream.read_to_end(Vec::new()).await;
    let answer = String::from_utf8(answer.1).expect("it is text");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with("soup"), "{answer}");
    trigger.fire();
    task.await.expect("it stops");
}

#[compio::test]
async fn run_malformed() {
    let (address, trigger, task) = serve(Echo::default()).await;
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(64 * 1024));
    for (name, sent, status) in [
        (
            "not HTTP",
            "menu please\r\n\r\n".to_owned(),
            "HTTP/1.1 400 ",
        ),
        ("header too long", long, "HTTP/1.1 431 "),
    ] {
        let mut stream = compio::net::TcpStream::connect(address.0)
            .await
            .expect("it listens");
        // The server may close before it has read everything.
        let _ = stream.write_all(sent).await;
        let answer = stream.read_to_end(Vec::new()).await.1;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(answer.starts_with(status), "{name}: {answer}");
    }
    let mut connection = web::Connection::open(address, PING)
        .await
        .expect("it listens");
    assert!(connection.send(request("still there")).await.is_ok());
    drop(connection);
    trigger.fire();
    task.await.expect("it stops");
}

#[compio::test]
async fn stop_finishes_requests() {
    let (open, gate) = oneshot::channel();
    let echo = Echo::default();
    *echo.gate.borrow_mut() = Some(gate);
    let entered = echo.entered.clone();
    let (address, trigger, task) = serve(echo).await;
    let mut connection = web::Connection::open(address, PING)
        .await
        .expect("it listens");
    let mut sender = connection.clone();
    let sent = compio::runtime::spawn(async move { sender.send(request("late")).await });
    while entered.get() == 0 {
        compio::time::sleep(time::Duration::from_millis(1)).await;
    }
    trigger.fire();
    compio::time::sleep(time::Duration::from_millis(1)).await;
    let _ = open.send(());
    let response = sent.await.expect("no panic").expect("it answers");
    assert_eq!(text(response).await, "late");
    task.await.expect("it stops");
    assert!(connection.send(request("after")).await.is_err());
}

#[compio::test]
async fn limited_body() {
    let (address, trigger, task) = serve(Echo::default()).await;
    let mut connection = web::Connection::open(address, PING)
        .await
        .expect("it listens");
    for (limit, fits) in [(4, true), (3, false)] {
        let response = connection.send(request("soup")).await.expect("it answers");
        let body = Body::limited(response.into_body(), limit);
        assert_eq!(body.collect().await.is_ok(), fits, "limit {limit}");
    }
    drop(connection);
    trigger.fire();
    task.await.expect("it stops");
}

/// A body that counts what is taken of it.
struct Counted {
    left: usize,
    taken: rc::Rc<cell::Cell<usize>>,
}

impl Counted {
    const CHUNK: usize = 4 * 1024;
}

impl http_body::Body for Counted {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, Self::Error>>> {
        if self.left == 0 {
            return task::Poll::Ready(None);
        }
        self.left -= 1;
        self.taken.set(self.taken.get() + Self::CHUNK);
        let chunk = Bytes::from_static(&[0; Self::CHUNK]);
        task::Poll::Ready(Some(Ok(http_body::Frame::data(chunk))))
    }
}

/// Bodies of requests that waited, or were refused, filled the links.
#[compio::test]
async fn body_unread_stays_with_its_sender() {
    let (open, gate) = oneshot::channel();
    let echo = Echo::default();
    echo.gate.replace(Some(gate));
    let (address, _trigger, _task) = serve(echo.clone()).await;
    let mut connection = web::Connection::open(address, PING)
        .await
        .expect("it listens");
    let taken = rc::Rc::new(cell::Cell::new(0));
    let body = Counted {
        left: 256,
        taken: taken.clone(),
    };
    let sending = compio::runtime::spawn(async move {
        let mut request = http::Request::new(body);
        *request.uri_mut() = http::Uri::from_static("http://sample.example/menu");
        *request.method_mut() = http::Method::POST;
        let response = connection.send(request).await.expect("it answers");
        text(response).await.len()
    });
    compio::time::sleep(time::Duration::from_millis(200)).await;
    assert_eq!(echo.entered.get(), 1);
    let window = web::Limits::default().stream_window as usize;
    assert!(
        taken.get() <= window + 2 * Counted::CHUNK,
        "{} bytes were sent unread",
        taken.get()
    );
    let _ = open.send(());
    assert_eq!(sending.await.expect("it ends"), 256 * Counted::CHUNK);
}

/// A client whose bytes never end kept the one thread of the process for itself.
#[compio::test]
async fn endless_request_leaves_others_served() {
    const START: &[u8] = b"POST /menu HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    const ENDLESS: time::Duration = time::Duration::from_secs(3);
    let (address, _trigger, _task) = serve(Echo::default()).await;
    let endless = std::thread::spawn(move || {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(address.0).expect("it listens");
        let began = time::Instant::now();
        let mut sent = stream.write_all(START);
        while sent.is_ok() && began.elapsed() < ENDLESS {
            sent = stream.write_all(&[b'0'; 16 * 1024]);
        }
    });
    compio::time::sleep(time::Duration::from_millis(200)).await;
    let began = time::Instant::now();
    let mut connection = web::Connection::open(address, PING)
        .await
        .expect("it listens");
    let response = connection.send(request("soup")).await.expect("it answers");
    assert_eq!(text(response).await, "soup");
    assert!(began.elapsed() < ENDLESS / 3, "{:?}", began.elapsed());
    endless.join().expect("it ends");
}
