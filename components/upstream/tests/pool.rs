//! HTTP/2 connections to another node.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use upstream::{Dialer, Feed, Patience, Pool, Settings};
use web::Body;

const PING: Duration = Duration::from_millis(40);

/// Answers every request, and counts them.
#[derive(Clone, Default)]
struct Kitchen {
    served: Rc<Cell<u32>>,
}

impl web::Handler for Kitchen {
    type Body = Body;

    async fn handle(self, _: http::Request<Incoming>) -> http::Response<Body> {
        self.served.set(self.served.get() + 1);
        compio::time::sleep(PING / 4).await;
        http::Response::new(Body::from("menu".to_owned()))
    }
}

async fn serve(kitchen: Kitchen) -> (units::Address, kernel::Trigger) {
    let limits = web::Limits {
        ping_after: PING,
        ..web::Limits::default()
    };
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = web::Server::bind(any, limits).await.expect("a free port");
    let address = server.address().expect("it is bound");
    let (trigger, stop) = kernel::stop();
    compio::runtime::spawn(server.run(kitchen, stop)).detach();
    (address, trigger)
}

fn request(address: units::Address) -> http::Request<Feed> {
    let mut request = http::Request::new(Feed::empty());
    let uri = format!("http://{address}/menu");
    *request.uri_mut() = uri.parse().expect("a URI");
    request
}

fn pool(address: units::Address) -> Pool {
    let settings = Settings {
        ping_interval: units::Period(PING),
        ..Settings::default()
    };
    Pool::new(address, Rc::new(settings), Dialer::new(500))
}

/// Sends a request and reads its answer.
async fn exchange(pool: &Pool, address: units::Address) {
    let reply = pool
        .send(request(address), Patience::Silence)
        .await
        .expect("an answer");
    let body = reply.response.into_body().collect().await;
    assert_eq!(body.expect("a whole body").to_bytes().as_ref(), b"menu");
}

#[compio::test]
async fn send_after_rest() {
    let kitchen = Kitchen::default();
    let (address, _stop) = serve(kitchen.clone()).await;
    let pool = pool(address);
    for _ in 0..5 {
        exchange(&pool, address).await;
        compio::time::sleep(4 * PING).await;
    }
    assert_eq!(kitchen.served.get(), 5);
    assert_eq!(pool.counts().opened, 1, "{:?}", pool.counts());
}

/// A connection that rested after a request was given up failed with the next one on it.
#[compio::test]
async fn send_after_request_given_up() {
    let kitchen = Kitchen::default();
    let (address, _stop) = serve(kitchen.clone()).await;
    let pool = pool(address);
    for _ in 0..3 {
        exchange(&pool, address).await;
        compio::time::sleep(4 * PING).await;
        let given_up =
            compio::time::timeout(PING / 10, pool.send(request(address), Patience::Silence)).await;
        assert!(given_up.is_err());
        compio::time::sleep(4 * PING).await;
    }
    exchange(&pool, address).await;
    assert_eq!(pool.counts().opened, 1, "{:?}", pool.counts());
}
