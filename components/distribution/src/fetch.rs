//! Fetches from another node what this one lacks.

use std::rc;

use membership::Member;
use schema::distribution as wire;

use crate::checkpoint;
use crate::core::Core;
use crate::spread;
use crate::state::{self, Outcome};

/// Parts of one checkpoint that are accepted.
const MOST_PARTS: u32 = 256;
/// Attempts at one part that a busy node gets.
const PART_ATTEMPTS: usize = 8;
/// Answers in one go, so that a node that grows faster than it is followed does not hold the task.
const MOST_ROUNDS: usize = 64;
/// Times the timeout of a short call that an answer with entries or a part may take.
const LONG_CALL: u32 = 2;

/// Starts to fetch from `node`, unless a fetch is under way.
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
            spread::start(&core);
        }
    })
    .detach();
}

/// Fetches until `member` has nothing more; says whether something came in force.
pub(crate) async fn run<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    member: &Member,
) -> bool {
    if core.fetching.replace(true) {
        return false;
    }
    let before = core.state.version();
    for _ in 0..MOST_ROUNDS {
        if !round(core, member).await {
            break;
        }
    }
    core.fetching.set(false);
    core.state.version() > before
}

/// Asks once; `false` when there is no more to get.
async fn round<S: platform::Store, L: peer::Link>(core: &Core<S, L>, member: &Member) -> bool {
    let kind = wire::request::Kind::Fetch(wire::Fetch::default());
    let Some(reply) = patient_call(core, member, kind).await else {
        return false;
    };
    let advanced = match reply.kind {
        Some(wire::reply::Kind::Entries(entries)) => apply_all(core, &entries.entries),
        Some(wire::reply::Kind::Part(first)) => fetch_checkpoint(core, member, first).await,
        _ => false,
    };
    let theirs = reply.sender.map_or(0, |standing| standing.version);
    advanced && core.state.version().0 < theirs
}

/// Applies entries in order; says whether one came in force.
pub(crate) fn apply_all<S: platform::Store, L: peer::Link>(
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

/// Calls a node that may ask to come back later.
async fn patient_call<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    member: &Member,
    kind: wire::request::Kind,
) -> Option<wire::Reply> {
    let timeout = core.call_timeout() * LONG_CALL;
    for _ in 0..PART_ATTEMPTS {
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
    if version <= core.state.version().0 || parts == 0 || parts > MOST_PARTS {
        return false;
    }
    let mut bytes = first.content;
    for part in 1..parts {
        let kind = wire::request::Kind::Fetch(wire::Fetch {
            checkpoint: version,
            part,
        });
        let reply = patient_call(core, member, kind).await;
        let Some(wire::reply::Kind::Part(next)) = reply.and_then(|reply| reply.kind) else {
            return false;
        };
        if (next.version, next.part) != (version, part) {
            return false;
        }
        bytes.extend(next.content);
    }
    adopt(core, units::Version(version), &bytes)
}

/// Puts an encoded checkpoint in force, or refuses it whole.
pub(crate) fn adopt<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    version: units::Version,
    bytes: &[u8],
) -> bool {
    match checkpoint::decode(bytes) {
        Ok(snapshot) if snapshot.version() == version => core.state.adopt(snapshot),
        Ok(_) => {
            let reason = "the checkpoint is of another version".into();
            core.state.refuse(version, reason);
            false
        }
        Err(error) => {
            core.state.refuse(version, error.to_string());
            false
        }
    }
}
