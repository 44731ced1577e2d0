//! Arbitrary bytes from the network: no panic, no change of what is in force.

use std::time;

use proptest::prelude::*;
use prost::Message;
use schema::distribution as wire;

use crate::bench::{self, Bench};

/// Time that any answer may take.
const LIMIT: time::Duration = time::Duration::from_secs(10);

/// Requests that decode and carry arbitrary content.
fn request() -> impl Strategy<Value = Vec<u8>> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..64);
    let publish = prop::collection::vec(bytes(), 0..4)
        .prop_map(|entries| wire::request::Kind::Publish(wire::Publish { entries }));
    let fetch = (any::<u64>(), any::<u32>()).prop_map(|(checkpoint, part)| {
        wire::request::Kind::Fetch(wire::Fetch { checkpoint, part })
    });
    let collect = (any::<u64>(), prop::collection::vec("[a-z0-9]{0,4}", 0..20)).prop_map(
        |(version, nodes)| {
            wire::request::Kind::Collect(wire::Collect {
                version,
                nodes,
                timeout_ms: 50,
            })
        },
    );
    let kind = prop_oneof![publish, fetch, collect];
    let version = prop_oneof![0_u64..4, Just(u64::MAX)];
    (kind, version).prop_map(|(kind, version)| {
        let sender = wire::Standing {
            version,
            ready: false,
            started_ms: 0,
        };
        let request = wire::Request {
            kind: Some(kind),
            sender: Some(sender),
        };
        request.encode_to_vec()
    })
}

async fn send(payload: Vec<u8>) {
    let bench = Bench::open(1, bench::quick());
    let verdict = bench.nodes[0].accept(bench::put("menus")).await;
    assert!(
        matches!(verdict, distribution::Verdict::Accepted(_)),
        "{verdict:?}"
    );
    let stranger = bench::member(9);
    let link = bench
        .network
        .link(stranger.node.clone(), stranger.peer_address);
    let to = bench.nodes[0].member.peer_address;
    // Whatever the answer is, it comes.
    let answer = peer::Link::call(&link, to, "distribution", payload, LIMIT).await;
    assert!(!matches!(answer, Err(peer::Error::Timeout)), "{answer:?}");
    let dump = bench.nodes[0].handle.dump();
    // Version 1 is built, and in force once the starting node is ready.
    assert_eq!(dump.newest.0, 1);
    assert_eq!(dump.version.0, u64::from(dump.ready));
    bench.close().await;
}

fn run(payload: Vec<u8>) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(send(payload));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn handle_bytes(payload in prop::collection::vec(any::<u8>(), 0..256)) {
        run(payload);
    }

    #[test]
    fn handle_requests(payload in request()) {
        run(payload);
    }
}
