//! Anti-entropy: compares digests with other nodes and exchanges only the records that differ.

use std::rc;
use std::time;

use futures_util::future;
use schema::membership as wire;
use wire::request::Kind;

use crate::digest::is_running;
use crate::shared::{Shared, jitter};
use crate::table::{Propagation, Record};
use crate::{Digest, Outages, Table, Update};

/// Maximum number of records in one exchange.
const EXCHANGE_RECORDS: usize = 4096;

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Timeout of a comparison or exchange request.
    pub(crate) const COMPARE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
    /// Maximum number of buckets exchanged in one comparison; the rest follows in the next one.
    const COMPARE_BUCKETS: usize = 256;
    /// Maximum number of consecutive comparisons with one node while differences remain.
    const COMPARE_ROUNDS: usize = 8;
    /// Larger batches of records from one exchange are not gossiped: other nodes find them by
    /// comparing, too.
    const GOSSIP_RECORDS_MAX: usize = 32;

    /// Initial comparison interval, doubled up to the configured period: a node that started together
    /// with many others has missed many of their updates.
    const COMPARE_PERIOD_MIN: time::Duration = time::Duration::from_secs(1);

    /// Periodically compares with a random member in scope and purges old records.
    pub(crate) async fn run_compares(self: rc::Rc<Self>, stop: kernel::Stop) {
        let mut period = Self::COMPARE_PERIOD_MIN;
        while stop.sleep(jitter(period)).await {
            period = (period * 2).min(self.settings.compare_period.0);
            let chosen = self.scope().sample(1, &self.identity.node);
            for member in chosen {
                stop.guard(self.compare_with(member.peer_address)).await;
            }
            let now = time::Instant::now();
            let retention = self.settings.retention.0;
            self.table.borrow_mut().purge(retention, now);
        }
    }

    /// Periodically compares with a random other data centre if this node is a bridge.
    pub(crate) async fn run_bridge(self: rc::Rc<Self>, stop: kernel::Stop) {
        let mut period = Self::COMPARE_PERIOD_MIN;
        while stop.sleep(jitter(period)).await {
            period = (period * 2).min(self.settings.bridge_period.0);
            let scope = self.scope();
            let own = &self.identity;
            let bridges = self.settings.bridges;
            if !scope.ranks().is_first(&own.data_centre, bridges, &own.node) {
                continue;
            }
            // Data centres that did not answer are retried in each round, in addition to a random one.
            let mut centres = self.outages.borrow().failing();
            centres.retain(|centre| scope.far_centres().contains(centre));
            let random = rand::seq::IndexedRandom::choose(scope.far_centres(), &mut rand::rng());
            centres.extend(random.filter(|one| !centres.contains(one)).cloned());
            let comparisons = centres
                .iter()
                .map(|centre| self.compare_with_centre(centre));
            stop.guard(future::join_all(comparisons)).await;
        }
    }

    /// Compares with a member of `centre`; makes up to `Outages::FAILURES` attempts until one answers.
    async fn compare_with_centre(&self, centre: &units::DataCentre) {
        for _ in 0..Outages::FAILURES {
            let Some(bridge) = self.scope().bridge(centre, self.settings.bridges) else {
                return;
            };
            let reached = self.compare_with(bridge.peer_address).await;
            self.record_reachability(centre, reached);
            if reached {
                return;
            }
        }
    }

    /// Compares with the node at `to` until both agree; returns whether that node answered.
    pub(crate) async fn compare_with(&self, to: units::Address) -> bool {
        for _ in 0..Self::COMPARE_ROUNDS {
            self.counter.update(|counts| counts.compares += 1);
            match self.compare_once(to).await {
                Ok(false) => return true,
                Ok(true) => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Runs one comparison; returns whether further buckets differ.
    async fn compare_once(&self, to: units::Address) -> Result<bool, peer::Error> {
        let centres = self.table.borrow().digest().summary();
        let kind = Kind::Compare(wire::Compare { centres });
        let compared: wire::Compared = self.request(to, kind, Self::COMPARE_TIMEOUT).await?;
        let (buckets, more) = self.choose_buckets(&compared);
        if buckets.is_empty() {
            return Ok(false);
        }
        let entries = entries(&self.table.borrow(), &buckets);
        let kind = Kind::Exchange(wire::Exchange { buckets, entries });
        let exchanged: wire::Exchanged = self.request(to, kind, Self::COMPARE_TIMEOUT).await?;
        self.complete_exchange(to, &exchanged).await;
        Ok(more)
    }

    /// Returns the buckets to exchange now and whether further buckets differ.
    fn choose_buckets(&self, compared: &wire::Compared) -> (Vec<wire::Buckets>, bool) {
        let table = self.table.borrow();
        let mut chosen = Vec::new();
        let mut count = 0;
        for centre in &compared.centres {
            if count >= Self::COMPARE_BUCKETS {
                return (chosen, true);
            }
            let numbers = table.digest().differing_buckets(centre);
            count += numbers.len();
            if !numbers.is_empty() {
                let centre = centre.name.clone();
                chosen.push(wire::Buckets { centre, numbers });
            }
        }
        (chosen, false)
    }

    /// Applies the updates of the other node and sends the records that it lacks.
    async fn complete_exchange(&self, to: units::Address, exchanged: &wire::Exchanged) {
        let propagation = if exchanged.updates.len() > Self::GOSSIP_RECORDS_MAX {
            Propagation::Bulk
        } else {
            Propagation::Gossip
        };
        let before = self.counter.get().news;
        let newer = self.apply_updates(&exchanged.updates, propagation);
        let repaired = self.counter.get().news - before;
        self.counter.update(|counts| counts.repaired += repaired);
        let mut missing: Vec<_> = newer.iter().map(Update::encode).collect();
        {
            let table = self.table.borrow();
            let wanted = exchanged.wanted.iter().take(EXCHANGE_RECORDS);
            let wanted = wanted.filter_map(|node| table.record(&node.parse().ok()?));
            missing.extend(wanted.map(|record| Update::of(record.member.clone()).encode()));
        }
        if !missing.is_empty() {
            self.send_gossip(to, missing).await;
        }
    }
}

/// Returns ids and incarnations of the running members of `table` in `buckets`.
fn entries(table: &Table, buckets: &[wire::Buckets]) -> Vec<wire::Entry> {
    let entry = |record: &Record| wire::Entry {
        node: record.member.node.to_string(),
        incarnation: record.member.incarnation,
    };
    let records = records_in(table, buckets);
    records.take(EXCHANGE_RECORDS).map(entry).collect()
}

/// Returns the records of running members of `table` in `buckets`.
fn records_in<'t>(
    table: &'t Table,
    buckets: &'t [wire::Buckets],
) -> impl Iterator<Item = &'t Record> {
    table.records().iter().filter(move |record| {
        let member = &record.member;
        let of_centre = |one: &&wire::Buckets| one.centre == member.data_centre.as_str();
        let bucket = || Digest::bucket(&member.node);
        let listed = |one: &wire::Buckets| one.numbers.iter().any(|one| *one as usize == bucket());
        is_running(member) && buckets.iter().find(of_centre).is_some_and(listed)
    })
}

/// Answers an exchange with the updates that the sender lacks, and requests the records of which the
/// sender has newer ones.
pub(crate) fn answer_exchange(table: &Table, exchange: &wire::Exchange) -> wire::Exchanged {
    let mut theirs: Vec<_> = exchange.entries.iter().collect();
    theirs.sort_by(|one, other| one.node.cmp(&other.node));
    let is_listed = |record: &Record| {
        let node = record.member.node.as_str();
        let index = theirs.binary_search_by(|entry| entry.node.as_str().cmp(node));
        index.is_ok()
    };
    let mut answer = wire::Exchanged::default();
    for entry in &theirs {
        let record = entry.node.parse().ok().and_then(|node| table.record(&node));
        match record {
            Some(record) if is_newer(record, entry) => answer.updates.push(encode(record)),
            Some(record) if record.member.incarnation >= entry.incarnation => {}
            _ => answer.wanted.push(entry.node.clone()),
        }
    }
    let missing = records_in(table, &exchange.buckets).filter(|record| !is_listed(record));
    answer.updates.extend(missing.map(encode));
    answer.updates.truncate(EXCHANGE_RECORDS);
    answer
}

/// Returns whether `record` is newer than a running member with the incarnation of `entry`.
fn is_newer(record: &Record, entry: &wire::Entry) -> bool {
    let member = &record.member;
    let ended = !is_running(member) && member.incarnation >= entry.incarnation;
    ended || member.incarnation > entry.incarnation
}

fn encode(record: &Record) -> wire::Update {
    Update::of(record.member.clone()).encode()
}
