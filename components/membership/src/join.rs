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
use crate::table::Propagation;

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Timeout of a request for one page of a view.
    const PULL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
    /// Maximum number of pages of one view.
    const PAGES_MAX: usize = 1000;
    /// Delay after which the next seed is contacted in parallel: a seed may have been removed for good,
    /// and a lost message can only be detected by a timeout.
    const NEXT_SEED_DELAY: time::Duration = time::Duration::from_millis(100);
    /// Initial delay before a node that has joined contacts the seeds that it does not know as members;
    /// doubled up to the maximum. Nodes that start together may join through different seeds.
    const CONTACT_DELAY_MIN: time::Duration = time::Duration::from_millis(50);
    const CONTACT_DELAY_MAX: time::Duration = time::Duration::from_millis(800);
    /// Timeout of such a contact.
    const CONTACT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
    /// Number of seeds contacted in parallel.
    const CONTACT_CONCURRENCY: usize = 8;
    /// Initial delay before the next attempt to join; doubled up to the maximum.
    const RETRY_MIN: time::Duration = time::Duration::from_millis(250);
    const RETRY_MAX: time::Duration = time::Duration::from_secs(10);
    /// Interval at which a node checks whether it has to rejoin.
    const JOIN_POLL: time::Duration = time::Duration::from_secs(1);
    /// Average delay of the first check of the seed objects after a join: when all nodes restart
    /// together, they may form separate groups, which find each other through the seed objects.
    const FIRST_CHECK: time::Duration = time::Duration::from_millis(700);
    /// Average delay of the first check if no seed was found: other nodes may start at the same time.
    const FIRST_CHECK_ALONE: time::Duration = time::Duration::from_millis(500);

    /// Joins, then checks the seeds periodically; rejoins after a long pause of this process.
    pub(crate) async fn run_joins(self: rc::Rc<Self>, stop: kernel::Stop) {
        let longest = self.settings.seed_period.0;
        let mut check = longest;
        loop {
            if !self.is_joined() {
                check = match stop.guard(self.join()).await {
                    Some(Joined::Members) => Self::FIRST_CHECK.min(longest),
                    Some(Joined::NoSeeds) => Self::FIRST_CHECK_ALONE.min(longest),
                    None => return,
                };
                if stop.guard(self.contact_seeds()).await.is_none() {
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

    /// Waits for `period`, or until this node has to rejoin; returns `false` when the service stops.
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
        self.joined_at.get().is_some()
    }

    /// Drops all members; `run_joins` then joins again.
    pub(crate) fn rejoin(&self) {
        self.table.borrow_mut().forget();
        self.joined_at.set(None);
    }

    /// Tries seeds until one has returned its whole view, or no seed exists.
    async fn join(&self) -> Joined {
        let mut wait = Self::RETRY_MIN;
        let joined = loop {
            match self.try_join().await {
                Attempt::Joined(joined) => break joined,
                Attempt::Busy(delay) => compio::time::sleep(jitter(delay)).await,
                Attempt::Failed => {
                    compio::time::sleep(jitter(wait)).await;
                    wait = (wait * 2).min(Self::RETRY_MAX);
                }
            }
        };
        let now = time::Instant::now();
        self.joined_at.set(Some(now));
        self.table.borrow_mut().gossip_own();
        if self.is_complete(now) {
            self.publish_now(now);
        }
        log::info!(members = self.table.borrow().records().len(); "joined the mesh");
        joined
    }

    /// Tries the seeds from the settings first, to keep load off the platform.
    async fn try_join(&self) -> Attempt {
        let mut seeds = self.seeds.clone();
        seeds.shuffle(&mut rand::rng());
        let attempt = self.pull_from_any(&seeds).await;
        if !matches!(attempt, Attempt::Failed) {
            return attempt;
        }
        let (seeds, complete) = self.find_seeds().await;
        self.seed_object_addresses.borrow_mut().clone_from(&seeds);
        if seeds.is_empty() && self.seeds.is_empty() && complete {
            return Attempt::Joined(Joined::NoSeeds);
        }
        self.pull_from_any(&seeds).await
    }

    /// Pulls the view of one of `seeds`. A further seed is contacted every `NEXT_SEED_DELAY` until one
    /// answers.
    async fn pull_from_any(&self, seeds: &[units::Address]) -> Attempt {
        let own = self.identity.peer_address;
        let mut rest = seeds.iter().copied().filter(|seed| *seed != own);
        let mut pulls = FuturesUnordered::new();
        let mut attempt = Attempt::Failed;
        loop {
            let next = rest.next();
            let delay = match next {
                Some(seed) => {
                    pulls.push(self.pull_and_compare(seed));
                    Self::NEXT_SEED_DELAY
                }
                None => Self::PULL_TIMEOUT,
            };
            match compio::time::timeout(delay, pulls.next()).await {
                Ok(Some(Ok(()))) => return Attempt::Joined(Joined::Members),
                Ok(Some(Err(peer::Error::Busy(wait)))) => attempt = Attempt::Busy(wait),
                Ok(Some(Err(error))) => {
                    log::debug!(error:% = error; "failed to pull the view of a seed")
                }
                Ok(None) => return attempt,
                Err(_) => {}
            }
        }
    }

    /// Pulls the view of `seed`, then compares, which sends the record of this node and fetches changes
    /// made in the meantime.
    async fn pull_and_compare(&self, seed: units::Address) -> Result<(), peer::Error> {
        self.pull_from(seed).await?;
        self.compare_with(seed).await;
        Ok(())
    }

    /// Contacts the seeds that were found but are not known as members, until all are known or the
    /// maximum delay is exceeded.
    async fn contact_seeds(&self) {
        let mut wait = Self::CONTACT_DELAY_MIN;
        while wait <= Self::CONTACT_DELAY_MAX {
            let found = self.seed_object_addresses.borrow().clone();
            let mut unknown = self.unknown_addresses(&found);
            unknown.retain(|seed| *seed != self.identity.peer_address);
            if unknown.is_empty() {
                return;
            }
            compio::time::sleep(jitter(wait)).await;
            unknown.shuffle(&mut rand::rng());
            unknown.truncate(Self::CONTACT_CONCURRENCY);
            let contacts = unknown
                .into_iter()
                .map(|seed| compio::time::timeout(Self::CONTACT_TIMEOUT, self.compare_with(seed)));
            future::join_all(contacts).await;
            wait *= 2;
        }
    }

    /// Pulls the whole view page by page, the first page from `seed`.
    async fn pull_from(&self, seed: units::Address) -> Result<(), peer::Error> {
        let mut after = String::new();
        for _ in 0..Self::PAGES_MAX {
            let page = self.pull_page(seed, &after).await?;
            self.apply_updates(&page.updates, Propagation::Bulk);
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

    /// Pulls one page. Pages after the first come from random members to spread the load of joining
    /// nodes over more than the seeds; `seed` is the fallback.
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

/// Result of joining.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Joined {
    /// Another node returned its view.
    Members,
    /// Neither the settings nor the platform list a seed.
    NoSeeds,
}

/// Result of one attempt to join.
enum Attempt {
    /// The node has joined.
    Joined(Joined),
    /// A seed is busy and requests a retry after this time.
    Busy(time::Duration),
    /// No seed answered.
    Failed,
}
