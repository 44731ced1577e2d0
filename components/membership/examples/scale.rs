//! Prints memory use and processor time of one node's records in a large mesh.
//!
//! `cargo run --release -p membership --example scale -- MEMBERS CENTRES`

use std::rc;
use std::time;

use membership::{Backend, Member, Phase, Propagation, Ranks, Reader, State, Table, Update};
use prost::Message;

const ROUNDS: u32 = 20;

fn member(number: usize, centres: usize) -> Member {
    let host = format!(
        "10.{}.{}.{}",
        number / 62_500,
        number / 250 % 250,
        number % 250 + 1
    );
    Member {
        node: format!("node-{number:05}").parse().expect("an id"),
        data_centre: format!("centre-{}", number % centres)
            .parse()
            .expect("an id"),
        peer_address: format!("{host}:7402").parse().expect("an address"),
        mesh_address: format!("{host}:7401").parse().expect("an address"),
        incarnation: 7,
        state: State::Alive,
        backend: Some(Backend {
            service: "bookdesk-of-lautoka".into(),
            version: "v12".into(),
            slots: 20,
            connections: 120,
            phase: Phase::Ready,
            instance: u64::try_from(number).unwrap_or_default() << 30,
        }),
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn measure<T>(label: &str, mut task: impl FnMut() -> T) -> T {
    let started = time::Instant::now();
    for _ in 1..ROUNDS {
        task();
    }
    let last = task();
    println!(
        "{label}: {:.3} ms",
        started.elapsed().as_secs_f64() * 1000.0 / f64::from(ROUNDS)
    );
    last
}

fn argument(index: usize, default: usize) -> usize {
    let text = std::env::args().nth(index);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let members = argument(1, 16_000);
    let centres = argument(2, 15);
    let now = time::Instant::now();
    let before = resident_kib();
    let mut table = Table::new(member(0, centres), members + 1, now);
    let started = time::Instant::now();
    let mut bytes = 0;
    for number in 1..members {
        let update = Update::of(rc::Rc::new(member(number, centres)));
        bytes += update.encode().encoded_len();
        table.learn(update, Propagation::Bulk, now);
    }
    println!("{members} members in {centres} data centres");
    println!(
        "records: built in {:.1} ms, {} KiB",
        started.elapsed().as_secs_f64() * 1000.0,
        resident_kib() - before
    );
    println!("encoded: {bytes} B, {} B per member", bytes / members);
    let reader = Reader::default();
    reader.set(table.view());
    println!("with a view: {} KiB", resident_kib() - before);
    let view = measure("new view", || table.view());
    measure("ranks", || Ranks::new(view.members().iter()));
    let summary = measure("digest summary", || table.digest().summary());
    measure("compare equal digests", || {
        table.digest().differing(&summary)
    });
    let sent: usize = summary.iter().map(Message::encoded_len).sum();
    println!("digest summary: {sent} B");
    let mut incarnation = 8;
    measure("one update", || {
        let changed = Member {
            incarnation,
            ..member(members / 2, centres)
        };
        incarnation += 1;
        table.apply(Update::of(rc::Rc::new(changed)), now)
    });
}
