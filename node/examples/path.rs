//! Measures the request path: `path backend I`, `path node I OWNERS`, `path load ADDRESS RATE SECONDS`,
//! `path sizes MEMBERS`.
//!
//! Node `I` has the backend server `I` beside it when `I` is below `OWNERS`; all nodes know all
//! owners without gossip.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use config::{Applied, Change, Put, Route, Service, Weight};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use membership::{Backend, Member, Phase, Reader, State, View};
use node::call::{Context, Ingress, Owner, Settings};

const BACKEND_PORT: u16 = 17_000;
const CALLERS_PORT: u16 = 18_000;
const MESH_PORT: u16 = 19_000;
const ANSWER: &[u8] = &[b'a'; 256];
const SLOTS: u32 = 64;

fn address(port: u16, index: u16) -> units::Address {
    let port = port + index;
    units::Address(std::net::SocketAddr::from(([127, 0, 0, 1], port)))
}

#[derive(Clone)]
struct Answering;

impl web::Handler for Answering {
    type Body = web::Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<web::Body> {
        let _ = request.into_body().collect().await;
        http::Response::new(Bytes::from_static(ANSWER).into())
    }
}

#[derive(Clone)]
struct Blind;

impl routing::Observer for Blind {
    fn observe(&self, _: &routing::Sample) {}
}

#[derive(Clone)]
struct Alone;

impl peer::Link for Alone {
    async fn call(
        &self,
        _: units::Address,
        _: &'static str,
        _: Vec<u8>,
        _: Duration,
    ) -> Result<Vec<u8>, peer::Error> {
        Err(peer::Error::Timeout)
    }
}

fn limits() -> web::Limits {
    web::Limits::default()
}

async fn run_backend(index: u16) {
    let bound = web::Server::bind(address(BACKEND_PORT, index), limits()).await;
    let (_trigger, stop) = kernel::stop();
    bound.expect("a free port").run(Answering, stop).await;
}

fn backend() -> Backend {
    Backend {
        service: "menus".into(),
        version: "v1".into(),
        slots: SLOTS,
        connections: 120,
        phase: Phase::Ready,
        instance: 1,
    }
}

fn member(index: u16, owners: u16) -> Member {
    Member {
        node: format!("n{index}").parse().expect("a node id"),
        data_centre: "ba".parse().expect("a data centre"),
        peer_address: address(MESH_PORT, index),
        mesh_address: address(MESH_PORT, index),
        incarnation: 1,
        state: State::Alive,
        backend: (index < owners).then(backend),
    }
}

fn configuration() -> config::Snapshot {
    let weight = Weight {
        version: "v1".into(),
        share: units::Share::WHOLE,
    };
    let service = Service {
        name: "menus".into(),
        weights: vec![weight],
        revision: units::Version::default(),
        ..Service::default()
    };
    let route = Route {
        name: "menus".into(),
        host: "".into(),
        path_prefix: "/".into(),
        service: "menus".into(),
        timeout: units::Period::from_secs(5),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(1 << 20),
        revision: units::Version::default(),
        ..Route::default()
    };
    let change = Change {
        operation: units::Operation::random(),
        puts: vec![Put::Service(service, None), Put::Route(route, None)],
        removes: Vec::new(),
        author: "example".into(),
    };
    match config::Snapshot::default().apply(&change) {
        Ok(Applied::Accepted(snapshot)) => snapshot,
        other => panic!("not accepted: {other:?}"),
    }
}

async fn run_node(index: u16, owners: u16) {
    let members = Reader::default();
    let all = (0..owners.max(index + 1)).map(|index| Rc::new(member(index, owners)));
    members.set(View::new(all.collect(), 1));
    let holder = distribution::Holder::default();
    holder.advance(configuration());
    let context = Context {
        quota: quota::Handle::default(),
        dialect: node::call::Native,
        node: format!("n{index}").parse().expect("a node id"),
        data_centre: "ba".parse().expect("a data centre"),
        holder,
        certainty: relay::Certainty::default(),
        members,
        withheld: routing::Withheld::default(),
        splits: routing::Splits::default(),
        focus: routing::Focus::default(),
        evacuations: routing::Evacuations::default(),
        regions: routing::Regions::default(),
        settings: Rc::new(Settings::default()),
    };
    let owner = Owner::new(context.clone(), Alone);
    if index < owners {
        let address = address(BACKEND_PORT, index);
        let backend = backend();
        owner.announce(Some(&admission::Announced {
            id: Default::default(),
            address,
            backend,
        }));
    }
    let ingress = Ingress::new(context, Blind, owner.clone());
    let mesh = web::Server::bind(address(MESH_PORT, index), limits()).await;
    let callers = web::Server::bind(address(CALLERS_PORT, index), limits()).await;
    let (_trigger, stop) = kernel::stop();
    let mesh = mesh.expect("a free port").run(owner, stop.clone());
    let callers = callers.expect("a free port").run(ingress, stop);
    futures_util::future::join(mesh, callers).await;
}

/// What callers have seen.
struct Seen {
    histogram: RefCell<Histogram<u64>>,
    reasons: RefCell<Vec<(String, u64)>>,
    failed: Cell<u64>,
    left: Cell<u64>,
}

impl Seen {
    fn refuse(&self, reason: String) {
        let mut reasons = self.reasons.borrow_mut();
        match reasons.iter_mut().find(|known| known.0 == reason) {
            Some(known) => known.1 += 1,
            None => reasons.push((reason, 1)),
        }
    }

    /// Runs one call that was due at `due`, and counts its time when it is `measured`.
    async fn call(
        &self,
        mut connection: web::Connection<Full<Bytes>>,
        due: Instant,
        measured: bool,
    ) {
        let request = http::Request::get("http://menus.example/menu/7");
        let request = request.body(Full::default()).expect("a request");
        let whole = match connection.send(request).await {
            Ok(answer) if answer.status().is_success() => answer.collect().await.is_ok(),
            Ok(answer) => {
                self.refuse(format!("{:?}", answer.headers().get("radishgap-reason")));
                false
            }
            Err(_) => false,
        };
        if !whole {
            self.failed.set(self.failed.get() + 1);
        } else if measured {
            let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = self.histogram.borrow_mut().record(micros);
        }
        self.left.set(self.left.get() - 1);
    }

    fn print(&self, rate: u64, sent: u64, took: Duration) {
        let histogram = self.histogram.borrow();
        let quantile = |part| histogram.value_at_quantile(part);
        println!(
            "rate {rate}/s, {:.0} answers/s, {} failed, p50 {} us, p99 {} us, p99.9 {} us, max {} us {:?}",
            (sent - self.failed.get()) as f64 / took.as_secs_f64(),
            self.failed.get(),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            histogram.max(),
            self.reasons.borrow(),
        );
    }
}

/// Open-loop load: each call starts when it is due, however late the others are.
async fn run_load(target: units::Address, rate: u64, seconds: u64) {
    const CONNECTIONS: usize = 8;
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let connection = web::Connection::<Full<Bytes>>::open(target, Duration::from_secs(5)).await;
        open.push(connection.expect("a connection"));
    }
    let seen = Rc::new(Seen {
        histogram: RefCell::new(Histogram::new(3).expect("a histogram")),
        reasons: RefCell::default(),
        failed: Cell::new(0),
        left: Cell::new(rate * seconds),
    });
    let started = Instant::now();
    let warm = Duration::from_secs(seconds.min(5) / 2);
    for (number, connection) in (0..rate * seconds).zip(open.iter().cycle()) {
        let due = started + Duration::from_nanos(number * 1_000_000_000 / rate);
        let now = Instant::now();
        if due > now {
            compio::time::sleep(due - now).await;
        }
        let (seen, connection) = (seen.clone(), connection.clone());
        let measured = due.duration_since(started) >= warm;
        compio::runtime::spawn(async move { seen.call(connection, due, measured).await }).detach();
    }
    while seen.left.get() > 0 && started.elapsed() < Duration::from_secs(seconds + 10) {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    seen.print(rate, rate * seconds, started.elapsed());
}

/// Time for taking over a view of `members` members and a configuration of as many routes.
fn run_sizes(members: u16) {
    let all = |changed: u64| {
        (0..members).map(move |index| {
            let mut member = member(index, members);
            if let Some(backend) = &mut member.backend {
                backend.service = format!("s{}", index % (members / 7).max(1)).into();
                backend.instance = changed;
            }
            Rc::new(member)
        })
    };
    let own = "n0".parse().expect("a node id");
    let mut directory = routing::Directory::new(own, "ba".parse().expect("a data centre"));
    let policy = routing::Policy::default();
    let mut current: Vec<_> = all(1).collect();
    for generation in 1..=4 {
        // One more member has restarted its backend server in each view.
        let place = usize::try_from(generation).unwrap_or(0);
        let mut restarted = (*current[place]).clone();
        restarted
            .backend
            .as_mut()
            .expect("a backend server")
            .instance = 2;
        current[place] = Rc::new(restarted);
        let view = Rc::new(View::new(current.clone(), generation));
        let started = Instant::now();
        directory.update(&view, &policy, started);
        println!(
            "{members} members, view {generation}: {} us",
            started.elapsed().as_micros()
        );
    }
    let mut snapshot = configuration();
    for chunk in 0..(members / 500).max(1) {
        let puts = (0..500.min(members)).map(|index| {
            let mut route = snapshot.routes()[0].clone();
            route.name = format!("r{chunk}-{index}").into();
            route.path_prefix = format!("/r{chunk}/{index}").into();
            Put::Route(route, None)
        });
        let change = Change {
            operation: units::Operation::random(),
            puts: puts.collect(),
            removes: Vec::new(),
            author: "example".into(),
        };
        if let Ok(Applied::Accepted(next)) = snapshot.apply(&change) {
            snapshot = next;
        }
    }
    let started = Instant::now();
    let table = routing::Table::new(&snapshot);
    let built = started.elapsed().as_micros();
    println!("{} routes: {built} us to build", snapshot.routes().len());
    let started = Instant::now();
    let found = (0..10_000).filter(|_| table.find("menus.example", "/r0/7/a/b/c").is_some());
    println!(
        "{} lookups: {} us",
        found.count(),
        started.elapsed().as_micros()
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |place: usize| -> u64 {
        let text = arguments.get(place);
        text.and_then(|text| text.parse().ok()).expect("a number")
    };
    let small = |place: usize| u16::try_from(number(place)).expect("a small number");
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    match arguments.first().map(String::as_str) {
        Some("backend") => runtime.block_on(run_backend(small(1))),
        Some("node") => runtime.block_on(run_node(small(1), small(2))),
        Some("load") => {
            let target = arguments[1].parse().expect("an address");
            runtime.block_on(run_load(target, number(2), number(3)));
        }
        Some("sizes") => run_sizes(small(1)),
        _ => {
            eprintln!(
                "usage: path backend I | path node I OWNERS | path load ADDRESS RATE SECONDS | path sizes MEMBERS"
            )
        }
    }
}
