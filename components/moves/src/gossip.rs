//! Gossip of records and alarms: spreads changes and compares catalogues between nodes.

use std::rc;
use std::time;

use futures_util::future;
use platform::Revision;
use rand::seq::IteratorRandom;
use schema::moves as wire;

use crate::shared::Shared;
use crate::{Alarm, Id, Merged, Record, Shard};

/// Number of peers contacted in each round.
const FANOUT: usize = 4;
/// Maximum number of rounds in which a node spreads the same news.
const MAX_ROUNDS: usize = 6;
/// Pause between two rounds.
const ROUND_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Interval between comparisons with a random peer.
const COMPARE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Interval between comparisons until the first one succeeds.
const STARTUP_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Spreads `news` to other nodes, each of which spreads it in turn.
///
/// A node stops as soon as all peers of a round knew the news already (rumor mongering with feedback:
/// Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987). Comparisons
/// repair what this misses.
pub(crate) fn spread<S, L>(shared: &rc::Rc<Shared<S, L>>, news: wire::Spread)
where
    S: platform::Store,
    L: peer::Link,
{
    let shared = shared.clone();
    compio::runtime::spawn(async move { spread_rounds(&shared, news).await }).detach();
}

async fn spread_rounds<S, L>(shared: &Shared<S, L>, news: wire::Spread)
where
    S: platform::Store,
    L: peer::Link,
{
    for _ in 0..MAX_ROUNDS {
        let peers = peers(shared, FANOUT, false);
        let calls = peers.into_iter().map(|peer| {
            let kind = wire::request::Kind::Spread(news.clone());
            shared.call(peer, kind)
        });
        let replies = future::join_all(calls).await;
        let is_news = |reply: &Option<wire::reply::Kind>| {
            // A peer that did not answer may not know the news.
            !matches!(
                reply,
                Some(wire::reply::Kind::News(wire::News { any: false }))
            )
        };
        if !replies.iter().any(is_news) {
            return;
        }
        compio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Addresses of up to `count` random running peers.
fn peers<S, L>(shared: &Shared<S, L>, count: usize, same_data_centre: bool) -> Vec<units::Address>
where
    S: platform::Store,
    L: peer::Link,
{
    let view = shared.parts.members.get();
    let others = view.running().filter(|member| {
        let is_local = member.data_centre == shared.parts.data_centre;
        member.node != shared.parts.node && (is_local || !same_data_centre)
    });
    let addresses = others.map(|member| member.peer_address);
    addresses.choose_multiple(&mut rand::rng(), count)
}

/// Merges news from another node; `true` if any of it was new.
pub(crate) fn receive<S, L>(shared: &rc::Rc<Shared<S, L>>, spread: &wire::Spread) -> bool
where
    S: platform::Store,
    L: peer::Link,
{
    let mut any = false;
    for alarm in spread.alarms.iter().filter_map(Alarm::decode) {
        any |= shared.add_alarm(alarm);
    }
    for stored in &spread.records {
        let record = stored.record.as_ref().and_then(Record::decode);
        let Some(record) = record else {
            continue;
        };
        any |= shared.merge_and_spread(Revision(stored.revision), record) == Merged::News;
    }
    if any {
        shared.tally.news.add(1);
    }
    any
}

/// Merges records fetched in a comparison without spreading them, as other nodes compare too.
fn merge_fetched<S, L>(shared: &Shared<S, L>, spread: &wire::Spread)
where
    S: platform::Store,
    L: peer::Link,
{
    for stored in &spread.records {
        let record = stored.record.as_ref().and_then(Record::decode);
        if let Some(record) = record {
            shared.merge(Revision(stored.revision), record);
        }
    }
}

/// Compares with random peers until `stop`.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    let mut interval = STARTUP_INTERVAL;
    let mut round = 0_u64;
    while stop.sleep(interval).await {
        round += 1;
        // Every fourth comparison may choose a peer in any data centre.
        let same_data_centre = !round.is_multiple_of(4);
        let peer = peers(&shared, 1, same_data_centre).pop();
        let Some(peer) = peer.or_else(|| peers(&shared, 1, false).pop()) else {
            continue;
        };
        if compare(&shared, peer).await.is_some() {
            interval = COMPARE_INTERVAL;
        }
    }
}

/// Fetches the newer data of `peer` and sends it the data that it lacks.
async fn compare<S, L>(shared: &rc::Rc<Shared<S, L>>, peer: units::Address) -> Option<()>
where
    S: platform::Store,
    L: peer::Link,
{
    let digests = shared.catalogue.borrow().digests();
    let kind = wire::request::Kind::Compare(wire::Compare {
        digests: digests.clone(),
    });
    let wire::reply::Kind::Summary(summary) = shared.call(peer, kind).await? else {
        return None;
    };
    for alarm in summary.alarms.iter().filter_map(Alarm::decode) {
        shared.add_alarm(alarm);
    }
    let (wanted, offered) = differences(shared, &summary);
    if !wanted.is_empty() {
        let kind = wire::request::Kind::Fetch(wire::Fetch { moves: wanted });
        if let wire::reply::Kind::Spread(spread) = shared.call(peer, kind).await? {
            merge_fetched(shared, &spread);
        }
    }
    if !offered.records.is_empty() || !offered.alarms.is_empty() {
        shared
            .call(peer, wire::request::Kind::Spread(offered))
            .await?;
    }
    Some(())
}

/// Moves with a newer record at the peer, and the records and alarms that are newer at this node.
///
/// Only shards whose digests differ are compared.
fn differences<S, L>(shared: &Shared<S, L>, summary: &wire::Summary) -> (Vec<String>, wire::Spread)
where
    S: platform::Store,
    L: peer::Link,
{
    const MAX_MOVES: usize = 512;
    let catalogue = shared.catalogue.borrow();
    let mut wanted = Vec::new();
    let mut offered = wire::Spread::default();
    for known in &summary.known {
        let Ok(id) = known.r#move.parse::<Id>() else {
            continue;
        };
        let held = catalogue.get(&id);
        if held.is_none_or(|held| held.revision.0 < known.revision) && wanted.len() < MAX_MOVES {
            wanted.push(known.r#move.clone());
        }
    }
    let differing = |shard: Shard| {
        summary
            .shards
            .contains(&u32::try_from(shard.index()).unwrap_or(u32::MAX))
    };
    for entry in catalogue.entries() {
        let id = &entry.record.id;
        if !differing(id.shard()) || offered.records.len() >= MAX_MOVES {
            continue;
        }
        let name = id.to_string();
        let listed = summary.known.iter().find(|known| known.r#move == name);
        if listed.is_none_or(|listed| listed.revision < entry.revision.0) {
            offered.records.push(encode(entry));
        }
    }
    let alarms = catalogue.alarms().iter();
    let unknown = alarms.filter(|alarm| {
        let name = alarm.id.to_string();
        let is_known = summary.alarms.iter().any(|alarm| alarm.r#move == name);
        differing(alarm.id.shard()) && !is_known
    });
    offered.alarms = unknown.map(Alarm::encode).collect();
    (wanted, offered)
}

fn encode(entry: &crate::Entry) -> wire::Stored {
    wire::Stored {
        revision: entry.revision.0,
        record: Some(entry.record.encode()),
    }
}

/// Summary of the shards whose digests differ from `peer_digests`.
pub(crate) fn summary<S, L>(shared: &Shared<S, L>, peer_digests: &[u64]) -> wire::Summary
where
    S: platform::Store,
    L: peer::Link,
{
    let catalogue = shared.catalogue.borrow();
    let own_digests = catalogue.digests();
    let differs = |shard: Shard| peer_digests.get(shard.index()) != own_digests.get(shard.index());
    let entries = catalogue.entries().iter();
    let known = entries
        .filter(|entry| differs(entry.record.id.shard()))
        .map(|entry| wire::Known {
            r#move: entry.record.id.to_string(),
            revision: entry.revision.0,
        });
    let alarms = catalogue.alarms().iter();
    let alarms = alarms.filter(|alarm| differs(alarm.id.shard()));
    let shards = Shard::all().filter(|shard| differs(*shard));
    wire::Summary {
        known: known.collect(),
        alarms: alarms.map(Alarm::encode).collect(),
        shards: shards
            .map(|shard| u32::try_from(shard.index()).unwrap_or(u32::MAX))
            .collect(),
    }
}

/// The records of `moves`.
pub(crate) fn fetch<S, L>(shared: &Shared<S, L>, moves: &[String]) -> wire::Spread
where
    S: platform::Store,
    L: peer::Link,
{
    let catalogue = shared.catalogue.borrow();
    let ids = moves.iter().filter_map(|id| id.parse::<Id>().ok());
    let entries = ids.filter_map(|id| catalogue.get(&id).map(encode));
    wire::Spread {
        records: entries.collect(),
        alarms: Vec::new(),
    }
}
