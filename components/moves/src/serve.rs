//! Handlers for commands of operators and requests of other nodes.

use std::rc;

use compact_str::{CompactString, format_compact};
use futures_channel::mpsc;
use peer::Incoming;
use platform::Error;
use prost::Message;
use rand::Rng;
use schema::moves as wire;
use schema::operator::Move;

use crate::shared::Shared;
use crate::writer::RETRY_BACKOFF;
use crate::{Alarm, Command, Id, Plan, Record, Refusal, Start, State, gather, gossip, view};

/// Maximum number of attempts to read back a write whose answer was lost.
const SETTLE_ATTEMPTS: usize = 10;
/// Maximum number of attempts to find a free number for a move.
const NUMBER_ATTEMPTS: usize = 8;

/// Handles one command.
pub(crate) async fn command<S, L>(
    shared: rc::Rc<Shared<S, L>>,
    command: Command,
    stop: kernel::Stop,
) where
    S: platform::Store,
    L: peer::Link,
{
    // A failed send means that the receiver has been dropped and needs no answer.
    match command {
        Command::Start { start, answer } => {
            let _ = answer.send(self::start(&shared, start).await);
        }
        Command::List { answer } => {
            let _ = answer.send(view::list(&shared));
        }
        Command::Show { id, answer } => {
            let shown = match find_id(&shared, &id) {
                Ok(id) => show(&shared, &id).await,
                Err(refusal) => Err(refusal),
            };
            let _ = answer.send(shown);
        }
        Command::Watch { id, answer } => match find_id(&shared, &id) {
            Ok(id) => {
                let (sender, receiver) = mpsc::unbounded();
                let _ = answer.send(Ok(receiver));
                watch(&shared, &id, &sender, &stop).await;
            }
            Err(refusal) => {
                let _ = answer.send(Err(refusal));
            }
        },
        Command::Cancel { id, reason, answer } => {
            let cancelled = match find_id(&shared, &id) {
                Ok(id) => cancel(&shared, &id, &reason).await,
                Err(refusal) => Err(refusal),
            };
            let _ = answer.send(cancelled);
        }
    }
}

/// Handles one request of another node.
pub(crate) fn request<S, L>(shared: &rc::Rc<Shared<S, L>>, incoming: Incoming)
where
    S: platform::Store,
    L: peer::Link,
{
    let request = wire::Request::decode(incoming.payload.as_slice()).ok();
    let Some(kind) = request.and_then(|request| request.kind) else {
        incoming.answer.invalid();
        return;
    };
    let reply = reply(shared, &kind);
    incoming
        .answer
        .send(wire::Reply { kind: reply }.encode_to_vec());
}

fn reply<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    kind: &wire::request::Kind,
) -> Option<wire::reply::Kind>
where
    S: platform::Store,
    L: peer::Link,
{
    use wire::reply::Kind;
    match kind {
        wire::request::Kind::Spread(spread) => {
            let any = gossip::receive(shared, spread);
            Some(Kind::News(wire::News { any }))
        }
        wire::request::Kind::Compare(compare) => {
            Some(Kind::Summary(gossip::summary(shared, &compare.digests)))
        }
        wire::request::Kind::Fetch(fetch) => {
            Some(Kind::Spread(gossip::fetch(shared, &fetch.moves)))
        }
        wire::request::Kind::Report(report) => {
            gather::receive(shared, report);
            Some(Kind::News(wire::News { any: false }))
        }
        wire::request::Kind::Ask(ask) => {
            let id = ask.r#move.parse().ok()?;
            view::of(shared, &id).map(Kind::Move)
        }
    }
}

fn find_id<S, L>(shared: &Shared<S, L>, text: &str) -> Result<Id, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    let missing = || Refusal::NoMove(text.into());
    let id: Id = text.parse().map_err(|_| missing())?;
    shared.record(&id).map(|_| id).ok_or_else(missing)
}

/// The move as its runner shows it, with evidence, or as this node knows it if the runner does not
/// answer.
async fn show<S, L>(shared: &rc::Rc<Shared<S, L>>, id: &Id) -> Result<Move, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    let record = shared.record(id);
    let record = record.ok_or_else(|| Refusal::NoMove(format_compact!("{id}")))?;
    let runner = record
        .runner
        .as_ref()
        .filter(|runner| **runner != shared.parts.node);
    if let Some(address) = runner.and_then(|runner| shared.address(runner))
        && !record.is_ended()
    {
        let kind = wire::request::Kind::Ask(wire::Ask {
            r#move: id.to_string(),
        });
        if let Some(wire::reply::Kind::Move(shown)) = shared.call(address, kind).await {
            return Ok(shown);
        }
    }
    local_view(shared, id)
}

/// Sends the move after each visible change, until it has ended.
async fn watch<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    id: &Id,
    sender: &mpsc::UnboundedSender<Move>,
    stop: &kernel::Stop,
) where
    S: platform::Store,
    L: peer::Link,
{
    let mut last = None;
    loop {
        let Ok(shown) = show(shared, id).await else {
            return;
        };
        let is_ended = shown.ended_ms > 0;
        // The time of the next step depends on the clock, so it is left out of the comparison.
        let compared = Move {
            next_step_ms: 0,
            ..shown.clone()
        };
        if last.as_ref() != Some(&compared) {
            last = Some(compared);
            if sender.unbounded_send(shown).is_err() {
                return;
            }
        }
        if is_ended || sender.is_closed() || !stop.sleep(shared.parts.settings.report.0).await {
            return;
        }
    }
}

/// Starts a move, or returns the one that the same operation started before.
async fn start<S, L>(shared: &rc::Rc<Shared<S, L>>, start: Start) -> Result<Move, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    for _ in 0..NUMBER_ATTEMPTS {
        let record = match prepare(shared, &start)? {
            Prepared::Repeated(id) => return show(shared, &id).await,
            Prepared::New(record) => record,
        };
        let id = record.id.clone();
        if create(shared, *record).await? {
            shared.tally.started.add(1);
            log::info!(id:% = id, from:% = start.from, to:% = start.to; "move started");
            return show(shared, &id).await;
        }
    }
    Err(Refusal::Unavailable)
}

/// Result of preparing a start.
enum Prepared {
    /// The same operation started this move before.
    Repeated(Id),
    /// The record of the new move.
    New(Box<Record>),
}

/// Checks a start against the state known to this node and builds the record.
fn prepare<S, L>(shared: &Shared<S, L>, start: &Start) -> Result<Prepared, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    let catalogue = shared.catalogue.borrow();
    if let Some(entry) = catalogue.by_operation(&start.operation) {
        return Ok(Prepared::Repeated(entry.record.id.clone()));
    }
    let snapshot = shared.parts.holder.get();
    let service = snapshot.service(&start.service);
    let service = service.ok_or_else(|| Refusal::NoService(start.service.clone()))?;
    check(shared, start, service)?;
    let latest = catalogue.of_service(&start.service).last();
    if let Some(latest) = latest.filter(|latest| !latest.record.is_ended()) {
        return Err(Refusal::Running(latest.record.id.clone()));
    }
    let id = latest.map_or_else(
        || Id::new(&start.service, 1),
        |latest| latest.record.id.next(),
    );
    if id.operation("0123456789abcdef").is_err() || id.key().is_err() {
        return Err(Refusal::Invalid(
            "the service name is too long for a move id".into(),
        ));
    }
    let now = units::Wall::now();
    Ok(Prepared::New(Box::new(Record {
        id,
        operation: start.operation.clone(),
        from: start.from.clone(),
        to: start.to.clone(),
        deadline: start.deadline,
        started: now,
        ended: None,
        state: State::Running,
        reason: CompactString::default(),
        step: 0,
        step_since: now,
        original: service.weights.clone(),
        runner: None,
        fence: 0,
        nonce: rand::rng().random(),
        overridden: false,
        accepted: service.revision,
    })))
}

fn check<S, L>(
    shared: &Shared<S, L>,
    start: &Start,
    service: &config::Service,
) -> Result<(), Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    if start.from == start.to {
        let text = "the old and the new version are the same";
        return Err(Refusal::Invalid(text.into()));
    }
    for version in [&start.from, &start.to] {
        if let Err(error) = version.parse::<units::Service>() {
            return Err(Refusal::Invalid(format_compact!("{error}")));
        }
    }
    let weight = service.weight(&start.from);
    if weight.is_none_or(|weight| weight.share == units::Share::NONE) {
        return Err(Refusal::NoShare(start.from.clone()));
    }
    if shared.index().ready(&start.service, &start.to).backends == 0 {
        return Err(Refusal::NotReady(start.to.clone()));
    }
    let earliest = units::Wall::now().after(Plan::shortest(&shared.parts.settings));
    if start.deadline < earliest {
        return Err(Refusal::TooNear(earliest));
    }
    Ok(())
}

/// Creates the object of a move; `false` if another move has taken the number.
async fn create<S, L>(shared: &rc::Rc<Shared<S, L>>, record: Record) -> Result<bool, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    let key = record
        .id
        .key()
        .map_err(|error| Refusal::Invalid(format_compact!("{error}")))?;
    let store = &shared.parts.store;
    shared.tally.calls.add(1);
    match store.create(&key, record.to_bytes()).await {
        Ok(revision) => {
            shared.merge_and_spread(revision, record);
            Ok(true)
        }
        Err(Error::Conflict) => read_back(shared, &key, &record, Refusal::Unavailable).await,
        Err(Error::Unknown(_)) => read_back(shared, &key, &record, Refusal::Unknown).await,
        Err(Error::Invalid(problem)) => Err(Refusal::Invalid(problem)),
        Err(Error::Unavailable(_) | Error::Throttled(_) | Error::Gone) => Err(Refusal::Unavailable),
    }
}

/// Reads back whether the object at `key` is that of `record`; fails with `fallback` if it cannot
/// be read.
async fn read_back<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    key: &platform::Key,
    record: &Record,
    fallback: Refusal,
) -> Result<bool, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    for _ in 0..SETTLE_ATTEMPTS {
        shared.tally.calls.add(1);
        match shared.parts.store.read(key).await {
            Ok(Some(object)) => {
                let found = Record::from_bytes(&object.value);
                let found = found.ok_or(Refusal::Unavailable)?;
                let is_ours = found.operation == record.operation;
                shared.merge_and_spread(object.revision, found);
                return Ok(is_ours);
            }
            // The create request was lost; a later attempt creates the object.
            Ok(None) => return Ok(false),
            Err(_) => compio::time::sleep(RETRY_BACKOFF).await,
        }
    }
    Err(fallback)
}

/// Writes the decision to take a running move back.
///
/// While the platform is down, the version is withheld on all nodes at once, and the runner writes
/// the end later.
async fn cancel<S, L>(shared: &rc::Rc<Shared<S, L>>, id: &Id, reason: &str) -> Result<Move, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    let key = id
        .key()
        .map_err(|_| Refusal::NoMove(format_compact!("{id}")))?;
    for _ in 0..SETTLE_ATTEMPTS {
        shared.tally.calls.add(2);
        let Ok(object) = shared.parts.store.read(&key).await else {
            return cancel_later(shared, id, reason).await;
        };
        let record = object
            .as_ref()
            .and_then(|object| Record::from_bytes(&object.value));
        let (Some(object), Some(mut record)) = (object, record) else {
            return Err(Refusal::NoMove(format_compact!("{id}")));
        };
        shared.merge_and_spread(object.revision, record.clone());
        match record.state {
            State::Done | State::TakenBack => return Err(Refusal::Ended(id.clone())),
            State::TakingBack => return local_view(shared, id),
            State::Running => {}
        }
        record.state = State::TakingBack;
        record.reason = reason.into();
        record.nonce = rand::rng().random();
        let written = shared
            .parts
            .store
            .update(&key, object.revision, record.to_bytes())
            .await;
        match written {
            Ok(revision) => {
                shared.merge_and_spread(revision, record);
                return local_view(shared, id);
            }
            // The next read shows a concurrent write, or the outcome of a lost one.
            Err(Error::Conflict | Error::Unknown(_)) => {}
            Err(_) => return cancel_later(shared, id, reason).await,
        }
    }
    Err(Refusal::Unknown)
}

async fn cancel_later<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    id: &Id,
    reason: &str,
) -> Result<Move, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    let record = shared.record(id);
    let record = record.ok_or_else(|| Refusal::NoMove(format_compact!("{id}")))?;
    if record.is_ended() {
        return Err(Refusal::Ended(id.clone()));
    }
    shared.add_alarm(Alarm {
        id: id.clone(),
        version: record.to.clone(),
        reason: reason.into(),
        node: shared.parts.node.as_str().into(),
        raised: units::Wall::now(),
    });
    local_view(shared, id)
}

/// View of the move as this node knows it.
fn local_view<S, L>(shared: &Shared<S, L>, id: &Id) -> Result<Move, Refusal>
where
    S: platform::Store,
    L: peer::Link,
{
    view::of(shared, id).ok_or_else(|| Refusal::NoMove(format_compact!("{id}")))
}
