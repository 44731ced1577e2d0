//! Answers requests of other nodes.

use std::rc;
use std::time;

use prost::Message;
use schema::distribution as wire;

use crate::core::{Blob, Core};
use crate::{checkpoint, fetch, spread, state, status};

type Shared<S, L> = rc::Rc<Core<S, L>>;

/// Answers one request; requests that have to wait for others are answered by a task of their own.
pub(crate) fn handle<S: platform::Store, L: peer::Link>(
    core: &Shared<S, L>,
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
    let remembered = core.state.announced(&incoming.from);
    let remembered = remembered.map_or(0, |one| one.highest.0);
    core.state.note(&incoming.from, request.sender);
    let sender = request.sender.unwrap_or_default();
    match request.kind {
        Some(wire::request::Kind::Publish(publish)) => {
            let duplicate = take(core, &incoming.from, &publish.entries);
            reply_held(core, incoming.answer, remembered, duplicate);
        }
        Some(wire::request::Kind::Compare(compare)) => {
            core.state.compare(&incoming.from, sender, compare.digest);
            if sender.version > core.state.version().0 {
                core.set_lazy(&incoming.from, false);
                fetch::start(core, &incoming.from);
            }
            reply_held(core, incoming.answer, remembered, false);
        }
        Some(wire::request::Kind::Fetch(request)) => {
            // A node that fetches did not get the version by its other links.
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

/// Takes pushed entries; says whether all of them were held already.
fn take<S: platform::Store, L: peer::Link>(
    core: &Shared<S, L>,
    from: &units::Node,
    entries: &[Vec<u8>],
) -> bool {
    let held = core.state.version();
    let advanced = fetch::apply_all(core, entries);
    if advanced {
        core.set_lazy(from, false);
        spread::start(core);
    }
    let announced = core.state.announced(from);
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

/// Serves entries to a node that is slightly behind, parts of a checkpoint to others.
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
    if let Err(wait) = core.parts.borrow_mut().take(time::Instant::now()) {
        core.state.count(|counts| counts.busy += 1);
        // Doubled on average, so that waiting nodes do not return all at once.
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
    let blob = blob(core);
    let continued = request.checkpoint == blob.version.0;
    let part = if continued { request.part } else { 0 };
    let size = core.state.settings.part_size.as_len();
    let Some(content) = blob.bytes.chunks(size).nth(part as usize) else {
        answer.invalid();
        return;
    };
    core.state.count(|counts| counts.parts += 1);
    let parts = blob.bytes.len().div_ceil(size);
    let kind = wire::reply::Kind::Part(wire::Part {
        version: blob.version.0,
        part,
        parts: u32::try_from(parts).unwrap_or(u32::MAX),
        content: content.to_vec(),
    });
    send(core, answer, kind);
}

/// The checkpoint for joiners; an older one serves as long as the tail continues it.
fn blob<S: platform::Store, L: peer::Link>(core: &Core<S, L>) -> rc::Rc<Blob> {
    let cached = core.blob.borrow().clone();
    if let Some(cached) = cached {
        let is_current = cached.version == core.state.version();
        let continued = core.state.tail.borrow().after(cached.version).is_some();
        if is_current || continued {
            return cached;
        }
    }
    let snapshot = core.state.newest();
    let blob = rc::Rc::new(Blob {
        version: snapshot.version(),
        bytes: checkpoint::encode(&snapshot),
    });
    *core.blob.borrow_mut() = Some(blob.clone());
    blob
}
