//! Handles requests from other nodes.

use std::rc;
use std::time;

use prost::Message;
use schema::distribution as wire;

use crate::core::{Core, EncodedCheckpoint};
use crate::{broadcast, checkpoint, fetch, state, status};

type SharedCore<S, L> = rc::Rc<Core<S, L>>;

/// Handles one request; a request that waits for other nodes gets its own task.
pub(crate) fn handle<S: platform::Store, L: peer::Link>(
    core: &SharedCore<S, L>,
    incoming: peer::Incoming,
) {
    let bytes = incoming.payload.len() as u64;
    core.state.count(|counts| {
        counts.received += 1;
        counts.received_bytes += bytes;
    });
    let Ok(request) = wire::Request::decode(incoming.payload.as_slice()) else {
        incoming.answer.invalid();
        return;
    };
    let remembered = core.state.peer_version(&incoming.from);
    let remembered = remembered.map_or(0, |one| one.highest.0);
    core.state.record_standing(&incoming.from, request.sender);
    let sender = request.sender.unwrap_or_default();
    match request.kind {
        Some(wire::request::Kind::Publish(publish)) => {
            let duplicate = apply_pushed(core, &incoming.from, &publish.entries);
            reply_held(core, incoming.answer, remembered, duplicate);
        }
        Some(wire::request::Kind::Compare(compare)) => {
            core.state
                .check_digest(&incoming.from, sender, compare.digest);
            if sender.version > core.state.version().0 {
                core.set_lazy(&incoming.from, false);
                fetch::start(core, &incoming.from);
            }
            reply_held(core, incoming.answer, remembered, false);
        }
        Some(wire::request::Kind::Fetch(request)) => {
            // A fetching node did not receive the version over its other links.
            core.set_lazy(&incoming.from, false);
            serve_fetch(core, incoming.answer, sender, request);
        }
        Some(wire::request::Kind::Collect(collect)) => {
            let core = core.clone();
            compio::runtime::spawn(async move {
                let collected = status::collect(&core, collect).await;
                let kind = wire::reply::Kind::Collected(collected);
                send(&core, incoming.answer, kind);
            })
            .detach();
        }
        None => incoming.answer.invalid(),
    }
}

/// Applies pushed entries; returns whether all of them were already held.
fn apply_pushed<S: platform::Store, L: peer::Link>(
    core: &SharedCore<S, L>,
    from: &units::Node,
    entries: &[Vec<u8>],
) -> bool {
    let held = core.state.version();
    let advanced = fetch::apply_entries(core, entries);
    if advanced {
        core.set_lazy(from, false);
        broadcast::start(core);
    }
    let announced = core.state.peer_version(from);
    let duplicate = !advanced && announced.is_some_and(|one| one.current <= held);
    if duplicate {
        core.set_lazy(from, true);
    }
    duplicate
}

fn reply_held<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    answer: peer::Answer,
    remembered: u64,
    duplicate: bool,
) {
    let kind = wire::reply::Kind::Held(wire::Held {
        remembered,
        duplicate,
    });
    send(core, answer, kind);
}

fn send<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    answer: peer::Answer,
    kind: wire::reply::Kind,
) {
    let reply = wire::Reply {
        kind: Some(kind),
        sender: Some(core.state.standing()),
    };
    let reply = reply.encode_to_vec();
    core.state.count(|counts| {
        counts.sent += 1;
        counts.sent_bytes += reply.len() as u64;
    });
    answer.send(reply);
}

/// Serves entries to a node that is slightly behind, and checkpoint parts to other nodes.
fn serve_fetch<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    answer: peer::Answer,
    sender: wire::Standing,
    request: wire::Fetch,
) {
    if request.checkpoint == 0 {
        let entries = core
            .state
            .tail
            .borrow()
            .after(units::Version(sender.version));
        if sender.version >= core.state.version().0 || entries.is_some() {
            let entries = entries.unwrap_or_default();
            let kind = wire::reply::Kind::Entries(wire::Entries { entries });
            send(core, answer, kind);
            return;
        }
    }
    if let Err(wait) = core.part_limiter.borrow_mut().take(time::Instant::now()) {
        core.state.count(|counts| counts.busy += 1);
        // Twice the wait on average, so that waiting nodes do not all retry at the same time.
        answer.busy(state::jitter(wait * 2));
        return;
    }
    serve_part(core, answer, request);
}

fn serve_part<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    answer: peer::Answer,
    request: wire::Fetch,
) {
    let checkpoint = joiner_checkpoint(core);
    let same_version = request.checkpoint == checkpoint.version.0;
    let part = if same_version { request.part } else { 0 };
    let size = core.state.settings.part_size.as_len();
    let Some(content) = checkpoint.bytes.chunks(size).nth(part as usize) else {
        answer.invalid();
        return;
    };
    core.state.count(|counts| counts.parts += 1);
    let parts = checkpoint.bytes.len().div_ceil(size);
    let kind = wire::reply::Kind::Part(wire::Part {
        version: checkpoint.version.0,
        part,
        parts: u32::try_from(parts).unwrap_or(u32::MAX),
        content: content.to_vec(),
    });
    send(core, answer, kind);
}

/// Returns the checkpoint for joining nodes; a cached one is reused while the tail has all later entries.
fn joiner_checkpoint<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
) -> rc::Rc<EncodedCheckpoint> {
    let cached = core.joiner_checkpoint.borrow().clone();
    if let Some(cached) = cached {
        let is_current = cached.version == core.state.version();
        let continued = core.state.tail.borrow().after(cached.version).is_some();
        if is_current || continued {
            return cached;
        }
    }
    let snapshot = core.state.newest();
    let encoded = rc::Rc::new(EncodedCheckpoint {
        version: snapshot.version(),
        bytes: checkpoint::encode(&snapshot),
    });
    *core.joiner_checkpoint.borrow_mut() = Some(encoded.clone());
    encoded
}
