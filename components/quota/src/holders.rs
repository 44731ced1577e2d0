//! The wallets that a granter knows.

use units::{Node, Uptime};

use crate::holder::Holder;

/// The wallets that a granter knows, sorted by node.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    holders: Vec<Holder>,
}

impl Holders {
    /// Takes the holder of a node out, a new one if there is none.
    pub(crate) fn take(&mut self, node: &Node, wallet: u64) -> Holder {
        let place = self.holders.binary_search_by(|one| one.node.cmp(node));
        match place {
            Ok(index) => self.holders.remove(index),
            Err(_) => Holder::new(node.clone(), wallet),
        }
    }

    /// Puts a holder back.
    pub(crate) fn put(&mut self, holder: Holder) {
        let place = self
            .holders
            .binary_search_by(|one| one.node.cmp(&holder.node));
        let (Ok(index) | Err(index)) = place;
        self.holders.insert(index, holder);
    }

    /// Votes that count at `now`, and the highest number of members that one of their voters knows.
    pub(crate) fn votes(&self, now: Uptime) -> (usize, u32) {
        let voters = self.holders.iter().filter(|holder| holder.vote > now);
        voters.fold((0, 0), |(votes, members), holder| {
            (votes + 1, members.max(holder.members))
        })
    }

    /// Takes the holders out whose leases lapsed and whose votes no longer count.
    pub(crate) fn take_lapsed(&mut self, now: Uptime) -> Vec<Holder> {
        let is_lapsed = |holder: &mut Holder| holder.lapse <= now && holder.vote <= now;
        self.holders.extract_if(.., is_lapsed).collect()
    }

    /// Forgets all leases.
    pub(crate) fn forget_leases(&mut self) {
        for holder in &mut self.holders {
            holder.leases.clear();
        }
    }
}
