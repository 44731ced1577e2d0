//! Fetches missing entries and checkpoints from another node.

use std::rc;

use membership::Member;
use schema::distribution as wire;

use crate::broadcast;
use crate::checkpoint;
use crate::core::Core;
use crate::state::{self, Outcome};

/// Maximum number of parts accepted for one checkpoint.
const MAX_PARTS: u32 = 256;
/// Maximum attempts of a call to a busy node.
const MAX_ATTEMPTS: usize = 8;
/// Maximum consecutive requests, so that a node whose version keeps increasing does not block the task.
const MAX_ROUNDS: usize = 64;
/// Factor on the call timeout for replies that carry entries or a checkpoint part.
const LONG_CALL_FACTOR: u32 = 2;

/// Spawns a fetch from `node` unless one is in progress.
pub(crate) fn start<S: platform::Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    node: &units::Node,
) {
    let Some(member) = core.view().member(node).cloned() else {
        return;
    };
    if core.fetching.get() {
        return;
    }
    let core = core.clone();
    compio::runtime::spawn(async move {
        if run(&core, &member).await {
            broadcast::start(&core);
        }
    })
    .detach();
}

/// Fetches until `member` has nothing newer; returns whether the version of this node increased.
pub(crate) async fn run<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    member: &Member,
) -> bool {
    if core.fetching.replace(true) {
        return false;
    }
    let before = core.state.version();
    for _ in 0..MAX_ROUNDS {
        if !fetch_once(core, member).await {
            break;
        }
    }
    core.fetching.set(false);
    core.state.version() > before
}

/// Sends one fetch request; returns `false` if there is nothing more to fetch.
async fn fetch_once<S: platform::Store, L: peer::Link>(core: &Core<S, L>, member: &Member) -> bool {
    let kind = wire::request::Kind::Fetch(wire::Fetch::default());
    let Some(reply) = call_with_retry(core, member, kind).await else {
        return false;
    };
    let advanced = match reply.kind {
        Some(wire::reply::Kind::Entries(entries)) => apply_entries(core, &entries.entries),
        Some(wire::reply::Kind::Part(first)) => fetch_checkpoint(core, member, first).await,
        _ => false,
    };
    let remote_version = reply.sender.map_or(0, |standing| standing.version);
    advanced && core.state.version().0 < remote_version
}

/// Applies entries in order; returns whether any increased the version.
pub(crate) fn apply_entries<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    entries: &[Vec<u8>],
) -> bool {
    let mut advanced = false;
    for entry in entries {
        match core.state.apply(entry) {
            Outcome::Advanced => advanced = true,
            Outcome::Duplicate => {}
            Outcome::Gap | Outcome::Refused => break,
        }
    }
    advanced
}

/// Calls a node, retrying while it is busy.
async fn call_with_retry<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    member: &Member,
    kind: wire::request::Kind,
) -> Option<wire::Reply> {
    let timeout = core.call_timeout() * LONG_CALL_FACTOR;
    for _ in 0..MAX_ATTEMPTS {
        match core.call(member, kind.clone(), timeout).await {
            Ok(reply) => return Some(reply),
            Err(peer::Error::Busy(wait)) => compio::time::sleep(state::jitter(wait)).await,
            Err(_) => return None,
        }
    }
    None
}

async fn fetch_checkpoint<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    member: &Member,
    first: wire::Part,
) -> bool {
    let (version, parts) = (first.version, first.parts);
    if version <= core.state.version().0 || parts == 0 || parts > MAX_PARTS {
        return false;
    }
    let mut bytes = first.content;
    for part in 1..parts {
        let kind = wire::request::Kind::Fetch(wire::Fetch {
            checkpoint: version,
            part,
        });
        let reply = call_with_retry(core, member, kind).await;
        let Some(wire::reply::Kind::Part(next)) = reply.and_then(|reply| reply.kind) else {
            return false;
        };
        if (next.version, next.part) != (version, part) {
            return false;
        }
        bytes.extend(next.content);
    }
    apply_checkpoint(core, units::Version(version), &bytes)
}

/// Applies an encoded checkpoint, or refuses it as a whole; returns whether the version increased.
pub(crate) fn apply_checkpoint<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    version: units::Version,
    bytes: &[u8],
) -> bool {
    match checkpoint::decode(bytes) {
        Ok(snapshot) if snapshot.version() == version => core.state.install_checkpoint(snapshot),
        Ok(_) => {
            let reason = "the checkpoint has a different version than requested".into();
            core.state.refuse(version, reason);
            false
        }
        Err(error) => {
            core.state.refuse(version, error.to_string());
            false
        }
    }
}
