//! Requests over NNG between a client and a server in one process.

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
const SHORT: time::Duration = time::Duration::from_millis(300);

fn address() -> units::Address {
    fakes::free_address().expect("a free port")
}

fn client() -> peer::Client {
    let node = "caller".parse().expect("an id");
    peer::Client::new(node, peer::Settings::default(), peer::Meter::default())
}

struct Running {
    address: units::Address,
    trigger: kernel::Trigger,
    server: compio::runtime::JoinHandle<()>,
    meter: peer::Meter,
}

/// Starts a server whose service `echo` answers with the payload; `mute` never answers.
fn start(settings: peer::Settings) -> Running {
    let (echo, mut inbox) = kernel::mailbox::<peer::Incoming>(16);
    let (mute, silent) = kernel::mailbox(16);
    let (full, kept) = kernel::mailbox(0);
    let mut router = peer::Router::default();
    router.register("echo", echo).expect("a new name");
    router.register("mute", mute).expect("a new name");
    router.register("full", full).expect("a new name");
    compio::runtime::spawn(async move {
        while let Some(incoming) = inbox.receive().await {
            incoming.answer.send(incoming.payload);
        }
    })
    .detach();
    let address = address();
    let meter = peer::Meter::default();
    let server = peer::Server::bind(address, router, settings, meter.clone()).expect("a server");
    let (trigger, stop) = kernel::stop();
    let server = compio::runtime::spawn(async move {
        server.run(stop).await;
        drop((silent, kept));
    });
    Running {
        address,
        trigger,
        server,
        meter,
    }
}

impl Running {
    async fn close(self) {
        self.trigger.fire();
        self.server.await.expect("the server stops");
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
        ("mute", SHORT, Err(peer::Error::Timeout)),
        ("echo", TIMEOUT, Ok(b"text".to_vec())),
    ];
    for (service, timeout, expected) in cases {
        let call = client.call(server.address, service, b"text".to_vec(), timeout);
        assert_eq!(call.await, expected, "{service}");
    }
    let sent = client.meter().total();
    let taken = server.meter.total();
    assert_eq!((sent.sent, sent.received, sent.failed), (5, 4, 1));
    assert_eq!(
        (sent.sent, sent.sent_bytes),
        (taken.received, taken.received_bytes)
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
    let refused = client.call(server.address, "echo", vec![7; 2000], SHORT);
    assert!(refused.await.is_err(), "the server must drop it");
    let fits = client.call(server.address, "echo", vec![7; 500], TIMEOUT);
    assert_eq!(fits.await, Ok(vec![7; 500]));
    server.close().await;
}

#[compio::test]
async fn call_many_at_a_time() {
    let server = start(peer::Settings::default());
    let client = client();
    let calls = (0..200_u32).map(|number| {
        let payload = number.to_le_bytes().to_vec();
        let call = client.call(server.address, "echo", payload.clone(), TIMEOUT);
        async move { (call.await, payload) }
    });
    for (answer, payload) in futures_util::future::join_all(calls).await {
        match answer {
            Ok(answer) => assert_eq!(answer, payload, "an answer of another request"),
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
    let node = "caller".parse().expect("an id");
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

/// Copies bytes until `silent` is set, then swallows them without closing.
async fn copy(
    mut from: compio::net::TcpStream,
    mut to: compio::net::TcpStream,
    silent: rc::Rc<std::cell::Cell<bool>>,
) {
    loop {
        let (read, buffer) = from.read(Vec::with_capacity(4096)).await.into();
        match read {
            Ok(0) | Err(_) => return,
            Ok(_) if silent.get() => {}
            Ok(_) => {
                if to.write_all(buffer).await.0.is_err() {
                    return;
                }
            }
        }
    }
}

/// A relay in front of `to`; each of its connections shares the switch that was set when it began.
async fn relay(
    listener: compio::net::TcpListener,
    to: units::Address,
    switches: rc::Rc<std::cell::RefCell<Vec<rc::Rc<std::cell::Cell<bool>>>>>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let far = compio::net::TcpStream::connect(to.0)
            .await
            .expect("the server");
        let silent = rc::Rc::new(std::cell::Cell::new(false));
        switches.borrow_mut().push(silent.clone());
        compio::runtime::spawn(copy(near.clone(), far.clone(), silent.clone())).detach();
        compio::runtime::spawn(copy(far, near, silent)).detach();
    }
}

#[compio::test]
async fn call_replaces_silent_connection() {
    let server = start(peer::Settings::default());
    let listener = compio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let entry = units::Address(listener.local_addr().expect("an address"));
    let switches = rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    compio::runtime::spawn(relay(listener, server.address, switches.clone())).detach();
    let client = client();
    let first = client.call(entry, "echo", vec![1], TIMEOUT).await;
    assert_eq!(first, Ok(vec![1]));
    for switch in switches.borrow().iter() {
        switch.set(true);
    }
    let lost = client.call(entry, "echo", vec![2], SHORT).await;
    assert_eq!(lost, Err(peer::Error::Timeout));
    let again = client.call(entry, "echo", vec![3], TIMEOUT).await;
    assert_eq!(again, Ok(vec![3]), "a new connection must carry on");
    server.close().await;
}

/// Whatever bytes arrive, the server refuses them and carries on.
#[compio::test]
async fn serve_arbitrary_bytes() {
    let server = start(peer::Settings::default());
    let to = server.address;
    let noise = std::thread::spawn(move || {
        let socket = nng::Socket::new(nng::Protocol::Req0).expect("a socket");
        socket.dial(&format!("tcp://{to}")).expect("a connection");
        let mut rng = StdRng::seed_from_u64(5);
        for _ in 0..500 {
            let mut bytes = vec![0; rng.random_range(0..100)];
            rng.fill(bytes.as_mut_slice());
            socket.send(bytes.as_slice()).expect("a sent message");
            let reply = socket.recv().expect("a reply");
            schema::peer::Reply::decode(reply.as_slice()).expect("a readable reply");
        }
        let mut raw = net::TcpStream::connect(to.0).expect("a connection");
        std::io::Write::write_all(&mut raw, &[0xff; 64]).expect("written bytes");
    });
    while !noise.is_finished() {
        let echo = client().call(to, "echo", vec![1], TIMEOUT).await;
        assert_eq!(echo, Ok(vec![1]));
    }
    noise.join().expect("no panic");
    let echo = client().call(to, "echo", vec![1], TIMEOUT).await;
    assert_eq!(echo, Ok(vec![1]));
    server.close().await;
}
