//! Measures the size and CPU time of a full-size configuration: entries, full and incremental
//! checkpoints, and applying one entry.

use std::time;

use config::{Applied, Change, Put, Route, Service, Snapshot, Weight};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schema::config as wire;

const SERVICES: usize = 2_400;
const ROUTES: usize = 16_000;
const CHANGES_PER_DAY: usize = 78_000;
/// Entries between checkpoints.
const CHECKPOINT_EVERY: usize = 512;
/// Incremental checkpoints per full checkpoint.
const CHAIN_LENGTH: usize = 16;
/// Fraction of changes that replace a route; the others replace the weights of a service.
const ROUTE_FRACTION: f64 = 0.1;
const SEED: u64 = 1;

fn service(number: usize, share: u32) -> Service {
    let new = units::Share::from_parts(share).unwrap_or_default();
    let weight = |version: &str, share| Weight {
        version: version.into(),
        share,
    };
    Service {
        name: format!("service-{number:04}").into(),
        weights: vec![
            weight("v2026-11-30", new.rest()),
            weight("v2026-12-03", new),
        ],
        revision: units::Version::default(),
        ..Service::default()
    }
}

fn route(number: usize, timeout: u64) -> Route {
    Route {
        name: format!("route-{number:05}").into(),
        host: format!("host-{:03}.vuniwai.example", number % 400).into(),
        path_prefix: format!("/v1/resource-{number:05}/items").into(),
        service: format!("service-{:04}", number % SERVICES).into(),
        timeout: units::Period::from_millis(timeout),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(1024 * 1024),
        revision: units::Version::default(),
        ..Route::default()
    }
}

fn change(puts: Vec<Put>) -> Change {
    Change {
        operation: units::Operation::random(),
        puts,
        removes: Vec::new(),
        author: "operator@vuniwai.example".into(),
    }
}

fn apply(snapshot: &Snapshot, change: &Change) -> Snapshot {
    match snapshot.apply(change) {
        Ok(Applied::Accepted(next)) => next,
        other => panic!("not accepted: {other:?}"),
    }
}

fn full_snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    let numbers: Vec<_> = (0..SERVICES).collect();
    for part in numbers.chunks(800) {
        let puts = part.iter().map(|n| Put::Service(service(*n, 0), None));
        snapshot = apply(&snapshot, &change(puts.collect()));
    }
    let numbers: Vec<_> = (0..ROUTES).collect();
    for part in numbers.chunks(1_000) {
        let puts = part.iter().map(|n| Put::Route(route(*n, 2_000), None));
        snapshot = apply(&snapshot, &change(puts.collect()));
    }
    snapshot
}

fn random_change(rng: &mut StdRng) -> Change {
    let put = if rng.random_bool(ROUTE_FRACTION) {
        Put::Route(
            route(rng.random_range(0..ROUTES), rng.random_range(1..9_000)),
            None,
        )
    } else {
        let number = rng.random_range(0..SERVICES);
        Put::Service(service(number, rng.random_range(0..10_000)), None)
    };
    change(vec![put])
}

/// Returns an incremental checkpoint with the changes since `base`.
fn increment(snapshot: &Snapshot, base: units::Version) -> wire::Checkpoint {
    let mut wire = snapshot.encode();
    wire.services.retain(|one| one.revision > base.0);
    wire.routes.retain(|one| one.revision > base.0);
    wire.settled.retain(|one| one.version > base.0);
    wire
}

fn compressed(checkpoint: &wire::Checkpoint) -> usize {
    lz4_flex::compress_prepend_size(&checkpoint.encode_to_vec()).len()
}

fn mean(times: &[time::Duration]) -> f64 {
    let sum: time::Duration = times.iter().sum();
    sum.as_secs_f64() * 1e3 / times.len() as f64
}

/// Measurements of a series of changes.
#[derive(Default)]
struct Measurements {
    entries: usize,
    entry_bytes: usize,
    apply_times: Vec<time::Duration>,
    /// Compressed bytes of full checkpoints.
    full_bytes: Vec<usize>,
    /// Compressed bytes of incremental checkpoints.
    increment_bytes: Vec<usize>,
}

impl Measurements {
    /// Applies random changes until the next checkpoint.
    fn run(&mut self, mut snapshot: Snapshot, rng: &mut StdRng) -> Snapshot {
        let base = snapshot.version();
        for _ in 0..CHECKPOINT_EVERY {
            let change = random_change(rng);
            let started = time::Instant::now();
            let next = snapshot.apply_all(std::slice::from_ref(&change));
            snapshot = next.expect("the change is valid");
            let digest = snapshot.digest();
            self.apply_times.push(started.elapsed());
            let entry = wire::Entry {
                version: snapshot.version().0,
                changes: vec![change.encode()],
                accepted_ms: units::Wall::now().0,
                digest,
            };
            self.entries += 1;
            self.entry_bytes += entry.encoded_len();
        }
        self.increment_bytes
            .push(compressed(&increment(&snapshot, base)));
        self.full_bytes.push(compressed(&snapshot.encode()));
        snapshot
    }

    fn print(&self) {
        let checkpoints = CHANGES_PER_DAY / CHECKPOINT_EVERY;
        let full: usize = self.full_bytes.iter().sum::<usize>() / CHAIN_LENGTH;
        let increment: usize = self.increment_bytes.iter().sum::<usize>() / CHAIN_LENGTH;
        let full_day = checkpoints * full;
        let chain_day = checkpoints * increment + checkpoints / CHAIN_LENGTH * full;
        let chain_read = full + increment * CHAIN_LENGTH / 2;
        println!(
            "entry: {} bytes on average",
            self.entry_bytes / self.entries
        );
        println!(
            "apply and digest: {:.2} ms on average",
            mean(&self.apply_times)
        );
        println!("whole: {full} bytes each, {checkpoints} a day: {full_day} bytes a day");
        println!(
            "incremental: {increment} bytes each, one whole in {CHAIN_LENGTH}: {chain_day} bytes a day"
        );
        println!("a joiner reads {full} bytes, {chain_read} from a chain of half the length");
    }
}

fn main() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut snapshot = full_snapshot();
    let mut measurements = Measurements::default();
    for _ in 0..CHAIN_LENGTH {
        snapshot = measurements.run(snapshot, &mut rng);
    }
    measurements.print();
    let started = time::Instant::now();
    let encoded = snapshot.encode();
    let bytes = lz4_flex::compress_prepend_size(&encoded.encode_to_vec());
    let encode = started.elapsed().as_secs_f64() * 1e3;
    let started = time::Instant::now();
    let decoded = Snapshot::decode(&encoded).expect("the checkpoint is valid");
    let decode = started.elapsed().as_secs_f64() * 1e3;
    assert_eq!(decoded.version(), snapshot.version());
    let plain = encoded.encoded_len();
    println!(
        "checkpoint: {plain} bytes plain, {} compressed",
        bytes.len()
    );
    println!("encode: {encode:.1} ms, decode and check: {decode:.1} ms");
}
