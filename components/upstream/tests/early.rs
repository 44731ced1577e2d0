//! Answers that come while their request is still being written.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use upstream::{Dialer, Lines, Payload, Settings};
use web::Body;

/// Reads the head of a request and a part of its body, answers with a part of an answer without length, and
/// closes the connection after `wait`; what is unread resets it.
fn answer_early(mut stream: TcpStream, wait: Duration) {
    let mut bytes = vec![0; 8 * 1024];
    let read = stream.read(&mut bytes);
    let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part of";
    if read.is_ok() && stream.write_all(head.as_bytes()).is_ok() {
        std::thread::sleep(wait);
    }
}

fn serve(wait: Duration) -> units::Address {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            answer_early(stream, wait);
        }
    });
    units::Address(address)
}

/// Passes requests on, and keeps the bodies of the answers that came whole.
#[derive(Clone)]
struct Proxy {
    lines: Lines,
    whole: Rc<RefCell<Vec<String>>>,
    cut: Rc<RefCell<usize>>,
}

impl web::Handler for Proxy {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Body> {
        let (head, body) = request.into_parts();
        let payload = Payload::new(Body::from(body), 0);
        let feed = payload.feed().expect("it is whole");
        let mut request = http::Request::new(feed);
        *request.method_mut() = head.method;
        *request.uri_mut() = head.uri;
        if let Ok(reply) = self.lines.send(request).await {
            match reply.response.into_body().collect().await {
                Ok(body) => {
                    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                    self.whole.borrow_mut().push(text);
                }
                Err(_) => *self.cut.borrow_mut() += 1,
            }
        }
        http::Response::new(Body::empty())
    }
}

/// Sends a long body in small parts until nobody takes it any more.
fn upload(address: units::Address, part: usize, pause: Duration) {
    const PARTS: usize = 2_000;
    let mut stream = TcpStream::connect(address.0).expect("it listens");
    let length = PARTS * part;
    let head = format!("POST /menu HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    let mut written = stream.write_all(head.as_bytes());
    for _ in 0..PARTS {
        if written.is_err() {
            return;
        }
        std::thread::sleep(pause);
        written = stream.write_all(&vec![b'x'; part]);
    }
}

/// Guards against a part of an answer that passes for the whole, as the reset of its connection was told to
/// the request that was still being written (MIXED).
#[compio::test]
async fn answer_without_length_that_a_reset_cuts_is_not_whole() {
    const CLIENTS: usize = 4;
    const ROUNDS: usize = 10;
    for (wait, part, pause) in [(1, 100, 0), (3, 5_000, 0), (3, 100, 50), (2, 60_000, 0)] {
        let lines = Lines::new(
            serve(Duration::from_millis(wait)),
            Rc::new(Settings {
                connections: 16,
                ..Settings::default()
            }),
            Dialer::new(5_000),
        );
        let proxy = Proxy {
            lines,
            whole: Rc::default(),
            cut: Rc::default(),
        };
        let any = "127.0.0.1:0".parse().expect("an address");
        let server = web::Server::bind(any, web::Limits::default()).await;
        let server = server.expect("a free port");
        let address = server.address().expect("it is bound");
        let (_trigger, stop) = kernel::stop();
        compio::runtime::spawn(server.run(proxy.clone(), stop)).detach();
        for _ in 0..ROUNDS {
            let clients: Vec<_> = (0..CLIENTS)
                .map(|_| {
                    std::thread::spawn(move || upload(address, part, Duration::from_micros(pause)))
                })
                .collect();
            while !clients.iter().all(std::thread::JoinHandle::is_finished) {
                compio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        assert_eq!(
            *proxy.whole.borrow(),
            Vec::<String>::new(),
            "{wait} ms, {part} bytes"
        );
    }
}
