//! Holds the leases of shards and starts the runners of their moves.

use std::cell;
use std::rc;
use std::time;

use platform::Lease;

use crate::shared::Shared;
use crate::tenure::Tenure;
use crate::{Id, Shard, runner};

/// Time between two looks at a shard.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Part of a lease's period after which it is renewed or tried again.
const RENEWALS: u32 = 3;
/// Periods after which the member that ranks second tries for a lease too.
const PATIENCE: u32 = 3;

/// Holds the lease of one shard.
struct Keeper<S, L> {
    shared: rc::Rc<Shared<S, L>>,
    shard: Shard,
    lease: Option<Lease<S>>,
    tenure: Option<rc::Rc<Tenure>>,
    /// Moves whose runner is running.
    active: rc::Rc<cell::RefCell<Vec<Id>>>,
    /// When the next attempt at the lease is due.
    due: time::Instant,
    /// Since when there have been moves to run that this node does not run.
    wanted_since: Option<time::Instant>,
}

/// Holds the lease of `shard` whenever this node should run its moves, until `stop`.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, shard: Shard, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    let mut keeper = Keeper {
        shared,
        shard,
        lease: None,
        tenure: None,
        active: rc::Rc::default(),
        due: time::Instant::now(),
        wanted_since: None,
    };
    while stop.sleep(TICK).await {
        keeper.look().await;
    }
    keeper.close().await;
}

impl<S: platform::Store, L: peer::Link> Keeper<S, L> {
    async fn look(&mut self) {
        let now = time::Instant::now();
        let moves = self.moves();
        if moves.is_empty() {
            self.wanted_since = None;
            self.give_up().await;
            return;
        }
        let since = *self.wanted_since.get_or_insert(now);
        if now >= self.due && (self.tenure.is_some() || self.is_candidate(now - since)) {
            self.attempt(now).await;
        }
        self.start_runners(&moves);
    }

    /// Moves of the shard that have not ended.
    fn moves(&self) -> Vec<Id> {
        let catalogue = self.shared.catalogue.borrow();
        let ids = catalogue.running().map(|entry| &entry.record.id);
        ids.filter(|id| id.shard() == self.shard).cloned().collect()
    }

    /// Whether this node ranks first for the shard, or second and nobody has run it for a while.
    fn is_candidate(&self, waited: time::Duration) -> bool {
        let patience = self.shared.parts.settings.lease.0 * PATIENCE;
        match self.shared.index().place(self.shard) {
            Some(0) => true,
            Some(_) => waited >= patience,
            None => false,
        }
    }

    async fn attempt(&mut self, now: time::Instant) {
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
        self.due = now + period / RENEWALS;
        if let Err(error) = observed {
            log::debug!(error:% = error; "attempt at a lease failed");
            self.due = time::Instant::now() + period / RENEWALS / RENEWALS;
        }
        let now = time::Instant::now();
        match lease.left(now) {
            Some(left) => self.hold(now + left),
            None => self.lose(),
        }
    }

    fn hold(&mut self, until: time::Instant) {
        match &self.tenure {
            Some(tenure) if tenure.is_held() => tenure.extend(until),
            _ => {
                self.lose();
                self.tenure = Some(rc::Rc::new(Tenure::new(until)));
            }
        }
    }

    fn lose(&mut self) {
        if let Some(tenure) = self.tenure.take() {
            tenure.end();
        }
    }

    /// Starts a runner for each move that has none.
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
                active.borrow_mut().retain(|one| *one != id);
            })
            .detach();
        }
    }

    /// Gives the lease up, so that another node need not wait for its end.
    async fn give_up(&mut self) {
        self.lose();
        if let Some(lease) = self.lease.take()
            && let Err(error) = lease.close().await
        {
            log::debug!(error:% = error; "a lease was not given up");
        }
    }

    async fn close(mut self) {
        self.give_up().await;
    }
}
