//! A time in which this process grants.

use std::time;

use units::Uptime;

use crate::holder::Lease;
use crate::{Bucket, Limit};

/// A time without interruption in which this process grants.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) id: u64,
    since: Uptime,
    /// Sorted by workspace.
    pub(crate) buckets: Vec<Kept>,
}

/// Bucket of a term.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) bucket: Bucket,
    /// Time since which the configuration has no such limit.
    gone: Option<Uptime>,
}

impl Term {
    pub(crate) fn new(limits: &[Limit], now: Uptime) -> Self {
        let kept = limits.iter().map(|limit| Kept {
            bucket: Bucket::empty(limit.clone(), now),
            gone: None,
        });
        Self {
            // Zero stands for no term.
            id: rand::random::<u64>().max(1),
            since: now,
            buckets: kept.collect(),
        }
    }

    pub(crate) fn find(&mut self, workspace: u64) -> Option<&mut Kept> {
        let index = self.index(workspace).ok()?;
        let kept = &mut self.buckets[index];
        kept.gone.is_none().then_some(kept)
    }

    fn index(&self, workspace: u64) -> Result<usize, usize> {
        self.buckets
            .binary_search_by_key(&workspace, |kept| kept.bucket.limit().workspace)
    }

    pub(crate) fn spend(&mut self, lease: &Lease, now: Uptime) {
        if let Ok(index) = self.index(lease.workspace) {
            let bucket = &mut self.buckets[index].bucket;
            bucket.refill(now);
            bucket.spend(lease.tokens);
            bucket.replace_unmet(lease.unmet, 0);
        }
    }

    pub(crate) fn configure(&mut self, limits: &[Limit], window: time::Duration, now: Uptime) {
        for limit in limits {
            match self.index(limit.workspace) {
                Ok(index) => {
                    let kept = &mut self.buckets[index];
                    kept.gone = None;
                    kept.bucket.change(limit.clone(), now);
                }
                Err(index) => {
                    let bucket = self.new_bucket(limit, window, now);
                    self.buckets.insert(index, Kept { bucket, gone: None });
                }
            }
        }
        for kept in &mut self.buckets {
            let workspace = kept.bucket.limit().workspace;
            let place = limits.binary_search_by_key(&workspace, |limit| limit.workspace);
            if place.is_err() && kept.gone.is_none() {
                kept.gone = Some(now);
            }
        }
        // Twice the window: leases of the removed workspace may be used within the first.
        let is_kept = |gone: Uptime| now.saturating_since(gone) < window * 2;
        self.buckets.retain(|kept| kept.gone.is_none_or(is_kept));
    }

    /// A bucket that was not in the configuration before: full where no other term can have granted of
    /// it within the window.
    fn new_bucket(&self, limit: &Limit, window: time::Duration, now: Uptime) -> Bucket {
        match now.saturating_since(self.since) >= window * 2 {
            true => Bucket::full(limit.clone(), now),
            false => Bucket::empty(limit.clone(), now),
        }
    }
}
