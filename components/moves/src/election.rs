//! Leader election for shards: holds their leases and starts the runners of their moves.

use std::cell;
use std::rc;
use std::time;

use platform::Lease;

use crate::shared::Shared;
use crate::tenure::Tenure;
use crate::{Id, Shard, runner};

/// Interval between checks of a shard.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Divisor of the lease period that gives the interval between renewals or attempts.
const RENEWALS_PER_PERIOD: u32 = 3;
/// Number of lease periods after which the member ranked second attempts to take the lease too.
const TAKEOVER_PERIODS: u32 = 3;

/// Participant in the election for one shard.
struct Elector<S, L> {
    shared: rc::Rc<Shared<S, L>>,
    shard: Shard,
    lease: Option<Lease<S>>,
    tenure: Option<rc::Rc<Tenure>>,
    /// Moves with an active runner.
    active: rc::Rc<cell::RefCell<Vec<Id>>>,
    /// Time of the next attempt to acquire or renew the lease.
    next_attempt: time::Instant,
    /// Time since which there have been moves to run that this node does not run.
    pending_since: Option<time::Instant>,
}

/// Holds the lease of `shard` while this node should run the moves of the shard, until `stop`.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, shard: Shard, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    let mut elector = Elector {
        shared,
        shard,
        lease: None,
        tenure: None,
        active: rc::Rc::default(),
        next_attempt: time::Instant::now(),
        pending_since: None,
    };
    while stop.sleep(CHECK_INTERVAL).await {
        elector.check().await;
    }
    elector.close().await;
}

impl<S: platform::Store, L: peer::Link> Elector<S, L> {
    async fn check(&mut self) {
        let now = time::Instant::now();
        let moves = self.moves();
        if moves.is_empty() {
            self.pending_since = None;
            self.release().await;
            return;
        }
        let since = *self.pending_since.get_or_insert(now);
        if now >= self.next_attempt && (self.tenure.is_some() || self.is_candidate(now - since)) {
            self.attempt_lease(now).await;
        }
        self.start_runners(&moves);
    }

    /// Moves of the shard that have not ended.
    fn moves(&self) -> Vec<Id> {
        let catalogue = self.shared.catalogue.borrow();
        let ids = catalogue.running().map(|entry| &entry.record.id);
        ids.filter(|id| id.shard() == self.shard).cloned().collect()
    }

    /// Whether this node ranks first for the shard, or second after the takeover delay.
    fn is_candidate(&self, waited: time::Duration) -> bool {
        let takeover_delay = self.shared.parts.settings.lease.0 * TAKEOVER_PERIODS;
        match self.shared.index().rank(self.shard) {
            Some(0) => true,
            Some(_) => waited >= takeover_delay,
            None => false,
        }
    }

    async fn attempt_lease(&mut self, now: time::Instant) {
        let parts = &self.shared.parts;
        let period = parts.settings.lease.0;
        if self.lease.is_none() {
            let name = self.shard.lease_name();
            let opened = Lease::new(parts.store.clone(), &name, parts.node.as_str(), period);
            self.lease = opened.ok();
        }
        let Some(lease) = self.lease.as_mut() else {
            return;
        };
        self.shared.tally.leases.add(1);
        let observed = lease.attempt(now).await;
        self.next_attempt = now + period / RENEWALS_PER_PERIOD;
        if let Err(error) = observed {
            log::debug!(error:% = error; "lease attempt failed");
            self.next_attempt =
                time::Instant::now() + period / RENEWALS_PER_PERIOD / RENEWALS_PER_PERIOD;
        }
        let now = time::Instant::now();
        match lease.left(now) {
            Some(left) => self.extend_tenure(now + left),
            None => self.end_tenure(),
        }
    }

    fn extend_tenure(&mut self, until: time::Instant) {
        match &self.tenure {
            Some(tenure) if tenure.is_held() => tenure.extend(until),
            _ => {
                self.end_tenure();
                self.tenure = Some(rc::Rc::new(Tenure::new(until)));
            }
        }
    }

    fn end_tenure(&mut self) {
        if let Some(tenure) = self.tenure.take() {
            tenure.end();
        }
    }

    /// Starts a runner for each move without one.
    fn start_runners(&self, moves: &[Id]) {
        let Some(tenure) = self.tenure.as_ref().filter(|tenure| tenure.is_held()) else {
            return;
        };
        for id in moves {
            if self.active.borrow().contains(id) {
                continue;
            }
            self.active.borrow_mut().push(id.clone());
            let (shared, tenure) = (self.shared.clone(), tenure.clone());
            let (active, id) = (self.active.clone(), id.clone());
            compio::runtime::spawn(async move {
                runner::run(shared, tenure, id.clone()).await;
                active.borrow_mut().retain(|other| *other != id);
            })
            .detach();
        }
    }

    /// Releases the lease, so that another node does not have to wait for it to expire.
    async fn release(&mut self) {
        self.end_tenure();
        if let Some(lease) = self.lease.take()
            && let Err(error) = lease.close().await
        {
            log::debug!(error:% = error; "failed to release a lease");
        }
    }

    async fn close(mut self) {
        self.release().await;
    }
}
