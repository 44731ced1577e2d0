//! Requests on a connection over which nothing comes for some time, as behind a full link.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use upstream::{Cause, Dialer, Feed, Patience, Pool, Settings};
use web::Body;

const PING: Duration = Duration::from_millis(40);
/// Silence of the link, several times that after which a connection is retired.
const SILENCE: Duration = Duration::from_millis(600);

/// Work on a request to `/slow`: longer than a server waited for the answer to its ping.
const LONG_WORK: Duration = Duration::from_millis(2_500);

/// Answers each request after some work.
#[derive(Clone)]
struct Kitchen;

impl web::Handler for Kitchen {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Body> {
        let work = match request.uri().path() {
            "/slow" => LONG_WORK,
            _ => PING / 2,
        };
        compio::time::sleep(work).await;
        http::Response::new(Body::from("menu".to_owned()))
    }
}

/// A link to a server; while it is held, what the server sends waits, or what it is sent.
struct Link {
    address: units::Address,
    held: Rc<Cell<bool>>,
    held_to_server: Rc<Cell<bool>>,
    connections: Rc<Cell<u32>>,
}

impl Link {
    async fn start() -> Self {
        Self::start_with(web::Limits::default()).await
    }

    async fn start_with(limits: web::Limits) -> Self {
        let any: units::Address = "127.0.0.1:0".parse().expect("an address");
        let server = web::Server::bind(any, limits).await.expect("a free port");
        let behind = server.address().expect("it is bound");
        let (trigger, stop) = kernel::stop();
        compio::runtime::spawn(async move {
            server.run(Kitchen, stop).await;
            drop(trigger);
        })
        .detach();
        let listener = TcpListener::bind(any.0).await.expect("a free port");
        let address = units::Address(listener.local_addr().expect("it is bound"));
        let link = Self {
            address,
            held: Rc::default(),
            held_to_server: Rc::default(),
            connections: Rc::default(),
        };
        let (held, connections) = (link.held.clone(), link.connections.clone());
        let held_to_server = link.held_to_server.clone();
        compio::runtime::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                let far = TcpStream::connect(behind.0).await.expect("it listens");
                compio::runtime::spawn(carry(near.clone(), far.clone(), held_to_server.clone()))
                    .detach();
                compio::runtime::spawn(carry(far, near, held.clone())).detach();
            }
        })
        .detach();
        link
    }

    fn request(&self) -> http::Request<Feed> {
        let mut request = http::Request::new(Feed::empty());
        let uri = format!("http://{}/menu", self.address);
        *request.uri_mut() = uri.parse().expect("a URI");
        request
    }

    fn pool(&self) -> Pool {
        let settings = Settings {
            ping_interval: units::Period(PING),
            ping_timeout: units::Period(PING),
            ..Settings::default()
        };
        Pool::new(self.address, Rc::new(settings), Dialer::new(500))
    }

    /// Holds what the server sends for [`SILENCE`].
    fn hold(&self) {
        self.held.set(true);
        let held = self.held.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(SILENCE).await;
            held.set(false);
        })
        .detach();
    }
}

/// Carries bytes one way.
async fn carry(mut from: TcpStream, mut to: TcpStream, held: Rc<Cell<bool>>) {
    loop {
        let read = from.read(vec![0; 4096]).await;
        let count = read.0.unwrap_or(0);
        while held.get() {
            compio::time::sleep(PING / 8).await;
        }
        if count == 0 || to.write_all(read.1[..count].to_vec()).await.0.is_err() {
            return;
        }
    }
}

/// Sends a request and reads its answer.
async fn exchange(link: &Link, pool: &Pool, patience: Patience) -> Result<(), Cause> {
    let reply = pool
        .send(link.request(), patience)
        .await
        .map_err(|failure| failure.cause)?;
    let body = reply.response.into_body().collect().await;
    assert_eq!(body.expect("a whole body").to_bytes().as_ref(), b"menu");
    Ok(())
}

/// Guards against an upload, at which its server is at work, ending since the link is full.
#[compio::test]
async fn request_that_may_run_once_outlasts_a_silent_link() {
    let link = Link::start().await;
    let pool = link.pool();
    exchange(&link, &pool, Patience::Answer)
        .await
        .expect("an answer");
    link.hold();
    exchange(&link, &pool, Patience::Answer)
        .await
        .expect("an answer after the silence");
}

#[compio::test]
async fn request_that_may_be_sent_again_ends_on_a_silent_link() {
    let link = Link::start().await;
    let pool = link.pool();
    exchange(&link, &pool, Patience::Silence)
        .await
        .expect("an answer");
    link.hold();
    let started = std::time::Instant::now();
    let ended = exchange(&link, &pool, Patience::Silence).await;
    assert_eq!(ended, Err(Cause::Silent));
    assert!(
        started.elapsed() < SILENCE,
        "it waited for {:?}",
        started.elapsed()
    );
    compio::time::sleep(SILENCE).await;
    exchange(&link, &pool, Patience::Silence)
        .await
        .expect("an answer on another connection");
    assert_eq!(link.connections.get(), 2);
}

/// Guards against a server that ends the requests of a client whose answer to a ping waits behind a full
/// link (LOST).
#[compio::test]
async fn request_outlasts_a_client_that_is_silent() {
    let limits = web::Limits::for_requests(100, Duration::ZERO);
    let link = Link::start_with(limits).await;
    let pool = link.pool();
    assert_eq!(exchange(&link, &pool, Patience::Answer).await, Ok(()));
    let mut request = link.request();
    *request.uri_mut() = format!("http://{}/slow", link.address)
        .parse()
        .expect("a URI");
    let sending = pool.send(request, Patience::Answer);
    let holding = async {
        compio::time::sleep(PING).await;
        link.held_to_server.set(true);
    };
    let (sent, ()) = futures_util::future::join(sending, holding).await;
    assert!(sent.is_ok(), "{:?}", sent.map(drop));
    link.held_to_server.set(false);
}
