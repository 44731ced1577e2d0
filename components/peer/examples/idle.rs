//! Prints thread count, memory use and request latency of a process with one client and up to 65 servers.

use std::time;

use kernel::Service;
use peer::Link;

const REQUESTS: u32 = 2000;
const PEERS: u16 = 64;
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

fn print_status(label: &str) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let is_printed = |line: &&str| line.starts_with("Threads") || line.starts_with("VmRSS");
    let lines: Vec<_> = status.lines().filter(is_printed).collect();
    println!("{label}: {}", lines.join(", ").replace('\t', " "));
}

fn serve(port: u16) -> units::Address {
    let (echo, mut inbox) = kernel::mailbox::<peer::Incoming>(256);
    let mut router = peer::Router::default();
    router
        .register("echo", echo)
        .expect("unregistered service name");
    compio::runtime::spawn(async move {
        while let Some(incoming) = inbox.receive().await {
            incoming.answer.send(incoming.payload);
        }
    })
    .detach();
    let address = format!("127.0.0.1:{port}").parse().expect("valid address");
    let settings = peer::Settings::default();
    let server = peer::Server::bind(address, router, settings, peer::Meter::default());
    let (trigger, stop) = kernel::stop();
    std::mem::forget(trigger);
    compio::runtime::spawn(server.expect("free port").run(stop)).detach();
    address
}

async fn measure(client: &peer::Client, to: units::Address) -> Vec<time::Duration> {
    let mut times = Vec::new();
    for _ in 0..REQUESTS {
        let started = time::Instant::now();
        let answer = client.call(to, "echo", vec![0; 100], TIMEOUT).await;
        assert!(answer.is_ok(), "{answer:?}");
        times.push(started.elapsed());
    }
    times.sort();
    times
}

#[compio::main]
async fn main() {
    print_status("at start");
    let address = serve(17_900);
    let node = "caller".parse().expect("valid node id");
    let client = peer::Client::new(node, peer::Settings::default(), peer::Meter::default());
    let times = measure(&client, address).await;
    print_status("one server, one peer");
    let quantile = |permille: usize| times[times.len() * permille / 1000];
    println!(
        "latency: p50 {:?}, p99 {:?}, max {:?}",
        quantile(500),
        quantile(990),
        quantile(999)
    );
    let started = time::Instant::now();
    for port in 1..=PEERS {
        let to = serve(17_900 + port);
        let answer = client.call(to, "echo", vec![1], TIMEOUT).await;
        assert!(answer.is_ok(), "{answer:?}");
    }
    print_status("64 servers, 64 peers");
    println!(
        "first request to a peer: {:?} on average",
        started.elapsed() / u32::from(PEERS)
    );
    let close_started = time::Instant::now();
    client.close();
    println!("closing {PEERS} connections: {:?}", close_started.elapsed());
}
