//! Tests of requests over NNG between a client and a server in one process.

use std::net;
use std::rc;
use std::time;

use compio::io::{AsyncRead, AsyncWriteExt};
use kernel::Service;
use peer::Link;
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TIMEOUT: time::Duration = time::Duration::from_secs(10);
const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

fn address() -> units::Address {
    fakes::free_address().expect("free port")
}

fn client() -> peer::Client {
    let node = "caller".parse().expect("valid node id");
    peer::Client::new(node, peer::Settings::default(), peer::Meter::default())
}

struct TestServer {
    address: units::Address,
    trigger: kernel::Trigger,
    server: compio::runtime::JoinHandle<()>,
    meter: peer::Meter,
}

/// Starts a server with three services: `echo` answers with the payload, `mute` never answers, and the
/// mailbox of `full` has no capacity.
fn start(settings: peer::Settings) -> TestServer {
    let (echo, mut echo_inbox) = kernel::mailbox::<peer::Incoming>(16);
    let (mute, mute_inbox) = kernel::mailbox(16);
    let (full, full_inbox) = kernel::mailbox(0);
    let mut router = peer::Router::default();
    router
        .register("echo", echo)
        .expect("unregistered service name");
    router
        .register("mute", mute)
        .expect("unregistered service name");
    router
        .register("full", full)
        .expect("unregistered service name");
    compio::runtime::spawn(async move {
        while let Some(incoming) = echo_inbox.receive().await {
            incoming.answer.send(incoming.payload);
        }
    })
    .detach();
    let address = address();
    let meter = peer::Meter::default();
    let server =
        peer::Server::bind(address, router, settings, meter.clone()).expect("server bound");
    let (trigger, stop) = kernel::stop();
    let server = compio::runtime::spawn(async move {
        server.run(stop).await;
        drop((mute_inbox, full_inbox));
    });
    TestServer {
        address,
        trigger,
        server,
        meter,
    }
}

impl TestServer {
    /// Time in which a server has to stop.
    const CLOSE_LIMIT: time::Duration = time::Duration::from_secs(30);

    async fn close(self) {
        self.trigger.fire();
        let stopped = compio::time::timeout(Self::CLOSE_LIMIT, self.server).await;
        let stopped = stopped.expect("server stops in time");
        stopped.expect("server stopped");
    }
}

#[compio::test]
async fn call_cases() {
    let server = start(peer::Settings::default());
    let client = client();
    let busy = Err(peer::Error::Busy(time::Duration::from_millis(200)));
    let cases = [
        ("echo", TIMEOUT, Ok(b"text".to_vec())),
        ("missing", TIMEOUT, Err(peer::Error::Invalid)),
        ("full", TIMEOUT, busy),
        ("mute", SHORT_TIMEOUT, Err(peer::Error::Timeout)),
        ("echo", TIMEOUT, Ok(b"text".to_vec())),
    ];
    for (service, timeout, expected) in cases {
        let call = client.call(server.address, service, b"text".to_vec(), timeout);
        assert_eq!(call.await, expected, "{service}");
    }
    let client_total = client.meter().total();
    let server_total = server.meter.total();
    assert_eq!(
        (
            client_total.sent,
            client_total.received,
            client_total.failed
        ),
        (5, 4, 1)
    );
    assert_eq!(
        (client_total.sent, client_total.sent_bytes),
        (server_total.received, server_total.received_bytes)
    );
    server.close().await;
}

#[compio::test]
async fn call_oversized() {
    let settings = peer::Settings {
        message_limit: units::Size(1000),
        ..peer::Settings::default()
    };
    let server = start(settings);
    let client = client();
    let oversized = client.call(server.address, "echo", vec![7; 2000], SHORT_TIMEOUT);
    assert!(
        oversized.await.is_err(),
        "the server must drop an oversized request"
    );
    let fits = client.call(server.address, "echo", vec![7; 500], TIMEOUT);
    assert_eq!(fits.await, Ok(vec![7; 500]));
    server.close().await;
}

#[compio::test]
async fn call_concurrently() {
    const CALLS_LIMIT: time::Duration = time::Duration::from_secs(60);
    let server = start(peer::Settings::default());
    let client = client();
    let calls = (0..200_u32).map(|number| {
        let payload = number.to_le_bytes().to_vec();
        let call = client.call(server.address, "echo", payload.clone(), TIMEOUT);
        async move { (call.await, payload) }
    });
    let calls = futures_util::future::join_all(calls);
    let answers = compio::time::timeout(CALLS_LIMIT, calls).await;
    for (answer, payload) in answers.expect("each call ends in time") {
        match answer {
            Ok(answer) => assert_eq!(answer, payload, "answer belongs to another request"),
            Err(error) => assert!(matches!(error, peer::Error::Busy(_)), "{error}"),
        }
    }
    server.close().await;
}

#[compio::test]
async fn call_evicts_least_recently_used() {
    let settings = peer::Settings {
        open_peers: 2,
        ..peer::Settings::default()
    };
    let node = "caller".parse().expect("valid node id");
    let client = peer::Client::new(node, settings, peer::Meter::default());
    let servers: Vec<_> = (0..4).map(|_| start(peer::Settings::default())).collect();
    for server in servers.iter().chain(&servers) {
        let call = client.call(server.address, "echo", vec![1], TIMEOUT);
        assert_eq!(call.await, Ok(vec![1]));
        assert!(client.connections() <= 2);
    }
    client.close();
    for server in servers {
        server.close().await;
    }
}

/// Forwards bytes until `discard` is set, then reads and discards them without closing the connection.
async fn forward(
    mut from: compio::net::TcpStream,
    mut to: compio::net::TcpStream,
    discard: rc::Rc<std::cell::Cell<bool>>,
) {
    loop {
        let (read, buffer) = from.read(Vec::with_capacity(4096)).await.into();
        match read {
            Ok(0) | Err(_) => return,
            Ok(_) if discard.get() => {}
            Ok(_) => {
                if to.write_all(buffer).await.0.is_err() {
                    return;
                }
            }
        }
    }
}

/// Runs a TCP proxy in front of `to`; each connection adds its own discard flag to `discard_flags`.
async fn run_proxy(
    listener: compio::net::TcpListener,
    to: units::Address,
    discard_flags: rc::Rc<std::cell::RefCell<Vec<rc::Rc<std::cell::Cell<bool>>>>>,
) {
    while let Ok((downstream, _)) = listener.accept().await {
        let upstream = compio::net::TcpStream::connect(to.0)
            .await
            .expect("server reachable");
        let discard = rc::Rc::new(std::cell::Cell::new(false));
        discard_flags.borrow_mut().push(discard.clone());
        compio::runtime::spawn(forward(
            downstream.clone(),
            upstream.clone(),
            discard.clone(),
        ))
        .detach();
        compio::runtime::spawn(forward(upstream, downstream, discard)).detach();
    }
}

#[compio::test]
async fn call_replaces_unresponsive_connection() {
    let server = start(peer::Settings::default());
    let listener = compio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("free port");
    let proxy_address = units::Address(listener.local_addr().expect("local address"));
    let discard_flags = rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    compio::runtime::spawn(run_proxy(listener, server.address, discard_flags.clone())).detach();
    let client = client();
    let first = client.call(proxy_address, "echo", vec![1], TIMEOUT).await;
    assert_eq!(first, Ok(vec![1]));
    for flag in discard_flags.borrow().iter() {
        flag.set(true);
    }
    let timed_out = client
        .call(proxy_address, "echo", vec![2], SHORT_TIMEOUT)
        .await;
    assert_eq!(timed_out, Err(peer::Error::Timeout));
    let retried = client.call(proxy_address, "echo", vec![3], TIMEOUT).await;
    assert_eq!(
        retried,
        Ok(vec![3]),
        "the client must open a new connection"
    );
    server.close().await;
}

/// Arbitrary bytes must be rejected without affecting other requests.
#[compio::test]
async fn serve_arbitrary_bytes() {
    let server = start(peer::Settings::default());
    let to = server.address;
    let fuzzer = std::thread::spawn(move || {
        let socket = nng::Socket::new(nng::Protocol::Req0).expect("NNG socket");
        socket
            .dial(&format!("tcp://{to}"))
            .expect("connection established");
        let mut rng = StdRng::seed_from_u64(5);
        for _ in 0..500 {
            let mut bytes = vec![0; rng.random_range(0..100)];
            rng.fill(bytes.as_mut_slice());
            socket.send(bytes.as_slice()).expect("message sent");
            let reply = socket.recv().expect("reply received");
            schema::peer::Reply::decode(reply.as_slice()).expect("valid reply");
        }
        let mut raw = net::TcpStream::connect(to.0).expect("connection established");
        std::io::Write::write_all(&mut raw, &[0xff; 64]).expect("bytes written");
    });
    while !fuzzer.is_finished() {
        let echo = client().call(to, "echo", vec![1], TIMEOUT).await;
        assert_eq!(echo, Ok(vec![1]));
    }
    fuzzer.join().expect("fuzzer thread did not panic");
    let echo = client().call(to, "echo", vec![1], TIMEOUT).await;
    assert_eq!(echo, Ok(vec![1]));
    server.close().await;
}
