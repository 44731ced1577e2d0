//! Joins the mesh through seeds.

use std::rc;
use std::time;

use futures_util::StreamExt;
use futures_util::future;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use schema::membership as wire;
use wire::request::Kind;

use crate::shared::{Shared, jitter};
use crate::table::Way;

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Time within which another node answers with a page of its view.
    const PULL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
    /// Most pages of one view.
    const PAGES: usize = 1000;
    /// The next seed is asked as well when the ones before have not answered for this long: seeds
    /// may be gone for good, and a lost message shows in nothing but its time.
    const ASK_NEXT: time::Duration = time::Duration::from_millis(100);
    /// First wait until a node that has joined looks for seeds that it has not met; it doubles up to
    /// the last one. Nodes that start together meet whoever is there first.
    const MEET_FIRST: time::Duration = time::Duration::from_millis(50);
    const MEET_LAST: time::Duration = time::Duration::from_millis(800);
    /// Time within which a seed answers then.
    const MEET_LIMIT: time::Duration = time::Duration::from_millis(200);
    /// Seeds that are met at a time.
    const MEET_AT_ONCE: usize = 8;
    /// First wait before another attempt to join; it doubles up to the longest.
    const RETRY_MIN: time::Duration = time::Duration::from_millis(250);
    const RETRY_MAX: time::Duration = time::Duration::from_secs(10);
    /// Time between two looks at whether this node has to join again.
    const JOIN_POLL: time::Duration = time::Duration::from_secs(1);
    /// The first check of the seed objects comes this soon after a join, on average: where all nodes
    /// start again together, each joins whom it meets first, and the parts have to find each other.
    const FIRST_CHECK: time::Duration = time::Duration::from_millis(700);
    /// The first check comes this soon where no seed was found: others may start at the same time.
    const FOUNDER_CHECK: time::Duration = time::Duration::from_millis(500);

    /// Joins, then checks the seeds from time to time; joins again after a very long pause.
    pub(crate) async fn run_joins(self: rc::Rc<Self>, stop: kernel::Stop) {
        let longest = self.settings.seed_period.0;
        let mut check = longest;
        loop {
            if !self.is_joined() {
                check = match stop.guard(self.join()).await {
                    Some(Joined::Members) => Self::FIRST_CHECK.min(longest),
                    Some(Joined::Nobody) => Self::FOUNDER_CHECK.min(longest),
                    None => return,
                };
                if stop.guard(self.meet_seeds()).await.is_none() {
                    return;
                }
            }
            if !self.wait_for_check(jitter(check), &stop).await {
                return;
            }
            check = (check * 2).min(longest);
            if self.is_joined() {
                stop.guard(self.check_seeds()).await;
            }
        }
    }

    /// Waits for `period`, or until this node has to join again; `false` when the service stops.
    async fn wait_for_check(&self, period: time::Duration, stop: &kernel::Stop) -> bool {
        let until = time::Instant::now() + period;
        while self.is_joined() && time::Instant::now() < until {
            let left = until.saturating_duration_since(time::Instant::now());
            if !stop.sleep(left.min(Self::JOIN_POLL)).await {
                return false;
            }
        }
        true
    }

    fn is_joined(&self) -> bool {
        self.joined.get().is_some()
    }

    /// Forgets all members and joins again.
    pub(crate) fn rejoin(&self) {
        self.table.borrow_mut().forget();
        self.joined.set(None);
    }

    /// Tries seeds until one has given its whole view, or there is certainly no other node.
    async fn join(&self) -> Joined {
        let mut wait = Self::RETRY_MIN;
        let joined = loop {
            match self.try_join().await {
                Attempt::Joined(joined) => break joined,
                Attempt::Busy(asked) => compio::time::sleep(jitter(asked)).await,
                Attempt::Failed => {
                    compio::time::sleep(jitter(wait)).await;
                    wait = (wait * 2).min(Self::RETRY_MAX);
                }
            }
        };
        let now = time::Instant::now();
        self.joined.set(Some(now));
        self.table.borrow_mut().announce();
        if self.is_whole(now) {
            self.publish_at_once(now);
        }
        log::info!(members = self.table.borrow().records().len(); "joined the mesh");
        joined
    }

    /// Tries the seeds of the settings first, so that joining nodes spare the platform.
    async fn try_join(&self) -> Attempt {
        let mut seeds = self.seeds.clone();
        seeds.shuffle(&mut rand::rng());
        let attempt = self.pull_from_any(&seeds).await;
        if !matches!(attempt, Attempt::Failed) {
            return attempt;
        }
        let (seeds, complete) = self.find_seeds().await;
        self.found.borrow_mut().clone_from(&seeds);
        if seeds.is_empty() && self.seeds.is_empty() && complete {
            return Attempt::Joined(Joined::Nobody);
        }
        self.pull_from_any(&seeds).await
    }

    /// Takes the view of one of `seeds`, which are asked one after the other until one answers.
    async fn pull_from_any(&self, seeds: &[units::Address]) -> Attempt {
        let own = self.identity.peer_address;
        let mut rest = seeds.iter().copied().filter(|seed| *seed != own);
        let mut asked = FuturesUnordered::new();
        let mut attempt = Attempt::Failed;
        loop {
            let next = rest.next();
            let patience = match next {
                Some(seed) => {
                    asked.push(self.pull_and_compare(seed));
                    Self::ASK_NEXT
                }
                None => Self::PULL_TIMEOUT,
            };
            match compio::time::timeout(patience, asked.next()).await {
                Ok(Some(Ok(()))) => return Attempt::Joined(Joined::Members),
                Ok(Some(Err(peer::Error::Busy(wait)))) => attempt = Attempt::Busy(wait),
                Ok(Some(Err(error))) => log::debug!(error:% = error; "seed gave no view"),
                Ok(None) => return attempt,
                Err(_) => {}
            }
        }
    }

    /// Takes the view of `seed`, gives it the record of this node, and takes what it learned meanwhile.
    async fn pull_and_compare(&self, seed: units::Address) -> Result<(), peer::Error> {
        self.pull_from(seed).await?;
        self.compare_with(seed).await;
        Ok(())
    }

    /// Meets the seeds that were found and are not known as members, until all are or time is over.
    async fn meet_seeds(&self) {
        let mut wait = Self::MEET_FIRST;
        while wait <= Self::MEET_LAST {
            let found = self.found.borrow().clone();
            let mut unknown = self.unknown(&found);
            unknown.retain(|seed| *seed != self.identity.peer_address);
            if unknown.is_empty() {
                return;
            }
            compio::time::sleep(jitter(wait)).await;
            unknown.shuffle(&mut rand::rng());
            unknown.truncate(Self::MEET_AT_ONCE);
            let meetings = unknown
                .into_iter()
                .map(|seed| compio::time::timeout(Self::MEET_LIMIT, self.compare_with(seed)));
            future::join_all(meetings).await;
            wait *= 2;
        }
    }

    /// Takes the whole view page by page, the first from `seed`.
    async fn pull_from(&self, seed: units::Address) -> Result<(), peer::Error> {
        let mut after = String::new();
        for _ in 0..Self::PAGES {
            let page = self.pull_page(seed, &after).await?;
            self.learn(&page.updates, Way::Bulk);
            let last = page
                .updates
                .last()
                .and_then(|update| update.member.as_ref());
            match last {
                Some(last) if page.more && last.node > after => after.clone_from(&last.node),
                _ => return Ok(()),
            }
        }
        Ok(())
    }

    /// Pages after the first come from random members, so that joining nodes do not all load the
    /// same few seeds; the seed itself is asked when that fails.
    async fn pull_page(
        &self,
        seed: units::Address,
        after: &str,
    ) -> Result<wire::Page, peer::Error> {
        let random = if after.is_empty() {
            None
        } else {
            self.random_address()
        };
        for to in random.into_iter().chain([seed]) {
            let after = after.to_owned();
            let kind = Kind::Pull(wire::Pull { after });
            let page = self.request(to, kind, Self::PULL_TIMEOUT).await;
            if page.is_ok() || to == seed {
                return page;
            }
        }
        Err(peer::Error::Timeout)
    }

    fn random_address(&self) -> Option<units::Address> {
        let table = self.table.borrow();
        let others = table.records().iter().map(|record| &record.member);
        let others = others.filter(|member| member.node != self.identity.node);
        let chosen = rand::seq::IteratorRandom::choose(others, &mut rand::rng());
        chosen.map(|member| member.peer_address)
    }
}

/// What a node found when it joined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Joined {
    /// Another node gave its view.
    Members,
    /// There is no seed, neither in the settings nor on the platform.
    Nobody,
}

/// How an attempt to join ended.
enum Attempt {
    /// It ended well.
    Joined(Joined),
    /// A seed asks to come back after this time.
    Busy(time::Duration),
    /// No seed answered.
    Failed,
}
