//! Requests that wait on their way from one node to another.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::backend::Backend;
use crate::caller::Caller;
use crate::fleet::{Fleet, route};

/// A way to a node on which bytes may be held up.
struct Way {
    address: units::Address,
    held: Arc<AtomicBool>,
}

impl Way {
    fn open(to: units::Address) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = units::Address(listener.local_addr().expect("it is bound"));
        let held = Arc::new(AtomicBool::new(false));
        let holding = held.clone();
        std::thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                let Ok(far) = TcpStream::connect(to.0) else {
                    return;
                };
                let clone = |stream: &TcpStream| stream.try_clone().expect("a second handle");
                let (back, forth) = (clone(&far), clone(&near));
                let never = Arc::new(AtomicBool::new(false));
                let holding = holding.clone();
                std::thread::spawn(move || copy(forth, far, &holding));
                std::thread::spawn(move || copy(back, near, &never));
            }
        });
        Self { address, held }
    }
}

/// Copies bytes until one side closes; while they are held they wait here.
fn copy(mut from: TcpStream, mut to: TcpStream, held: &AtomicBool) {
    const STEP: Duration = Duration::from_millis(1);
    let mut bytes = [0; 4096];
    loop {
        let read = from.read(&mut bytes).unwrap_or(0);
        while held.load(Ordering::Relaxed) {
            std::thread::sleep(STEP);
        }
        if read == 0 || to.write_all(&bytes[..read]).is_err() {
            return;
        }
    }
}

/// Guards against backend servers that are handed more time than their caller has left (BUDGET).
#[compio::test]
async fn time_on_the_way_is_taken_off_the_deadline() {
    const TIMEOUT_MS: u64 = 4_000;
    const WAIT: Duration = Duration::from_millis(900);
    /// Bound of the users' rule on the time handed on beyond what is left.
    const SLACK_MS: u64 = 500;
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    fleet.configure(&[route("menus", "/", TIMEOUT_MS)]);
    let way = Way::open(fleet.mesh_address(0));
    fleet.divert(0, way.address);
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    for _ in 0..5 {
        assert_eq!(caller.send("GET", "/quick").await.status, 200);
    }
    way.held.store(true, Ordering::Relaxed);
    let asked = compio::runtime::spawn(async move { caller.send("GET", "/late").await });
    compio::time::sleep(WAIT).await;
    way.held.store(false, Ordering::Relaxed);
    let got = asked.await.expect("the caller runs");
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(backend.runs("/late"), 1);
    let handed = backend.last_headers()["radishgap-deadline-ms"].clone();
    let handed: u64 = handed.to_str().expect("text").parse().expect("a number");
    let waited = u64::try_from(WAIT.as_millis()).expect("a short time");
    let left = TIMEOUT_MS - waited;
    assert!(handed <= left + SLACK_MS, "{handed} ms of {left} left");
    assert_eq!(fleet.nodes[0].owner.counts().delayed, 1);
}
