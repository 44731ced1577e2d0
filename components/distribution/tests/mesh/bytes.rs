//! Arbitrary bytes from the network cause no panic and no change of the configuration in force.

use std::time;

use proptest::prelude::*;
use prost::Message;
use schema::distribution as wire;

use crate::mesh::{self, Mesh};

/// Maximum time for any reply.
const LIMIT: time::Duration = time::Duration::from_secs(10);

/// Generates requests that can be decoded and have arbitrary content.
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
    let mesh = Mesh::start(1, mesh::short_intervals());
    let verdict = mesh.nodes[0].accept(mesh::put("menus")).await;
    assert!(
        matches!(verdict, distribution::Verdict::Accepted(_)),
        "{verdict:?}"
    );
    let stranger = mesh::member(9);
    let link = mesh
        .network
        .link(stranger.node.clone(), stranger.peer_address);
    let to = mesh.nodes[0].member.peer_address;
    // Any reply is allowed, but no timeout.
    let answer = peer::Link::call(&link, to, "distribution", payload, LIMIT).await;
    assert!(!matches!(answer, Err(peer::Error::Timeout)), "{answer:?}");
    let dump = mesh.nodes[0].handle.dump();
    // Version 1 is built, and in force if the starting node is ready already.
    assert_eq!(dump.newest.0, 1);
    assert_eq!(dump.version.0, u64::from(dump.ready));
    mesh.close().await;
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
