//! Queue of updates to gossip, each with a bounded number of transmissions.

use crate::Update;

/// Queue of updates to gossip; each is sent a bounded number of times.
///
/// When each node sends an update to ln(n) + c random members, all n members receive it with
/// probability exp(-exp(-c)) (Kermarrec et al., Probabilistic reliable dissemination in large-scale
/// systems, 2003). Updates that a node misses nevertheless are found by comparing digests.
#[derive(Debug, Default)]
pub struct Rumors {
    /// Sorted by node.
    entries: Vec<Rumor>,
}

#[derive(Debug)]
struct Rumor {
    update: Update,
    sent: u32,
    /// Whether the update was sent to the other data centres.
    forwarded: bool,
}

impl Rumors {
    /// Transmissions in addition to ln(members); with 6, 99.7% of the updates reach all members.
    const MARGIN: f64 = 6.0;

    /// Returns how many times a node sends one update among `members`.
    #[must_use]
    pub fn transmissions(members: usize) -> u32 {
        // The number of members is far below the limits of `f64` and `u32`.
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let count = ((members as f64).ln() + Self::MARGIN).ceil() as u32;
        count
    }

    /// Queues an update, which replaces a queued one about the same member.
    pub fn add(&mut self, update: Update) {
        let node = &update.member.node;
        let index = self
            .entries
            .binary_search_by(|one| one.update.member.node.cmp(node));
        let rumor = Rumor {
            update,
            sent: 0,
            forwarded: false,
        };
        match index {
            Ok(index) => self.entries[index] = rumor,
            Err(index) => self.entries.insert(index, rumor),
        }
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of queued updates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether an update about `node` is queued.
    #[must_use]
    pub fn contains(&self, node: &units::Node) -> bool {
        let index = self
            .entries
            .binary_search_by(|one| one.update.member.node.cmp(node));
        index.is_ok()
    }

    /// Returns updates of up to `limit` bytes for one message, the least often sent first.
    ///
    /// Updates that have been sent `transmissions` times are removed from the queue.
    pub fn take(&mut self, limit: usize, transmissions: u32) -> Vec<schema::membership::Update> {
        let mut order: Vec<_> = (0..self.entries.len()).collect();
        order.sort_by_key(|index| self.entries[*index].sent);
        let mut taken = Vec::new();
        let mut bytes = 0;
        for index in order {
            let rumor = &mut self.entries[index];
            let update = rumor.update.encode();
            bytes += prost::Message::encoded_len(&update) + Self::FIELD_BYTES;
            if bytes > limit {
                break;
            }
            rumor.sent += 1;
            taken.push(update);
        }
        self.entries.retain(|rumor| rumor.sent < transmissions);
        taken
    }

    /// Returns the updates to forward to other data centres: those for which `is_near` holds, each once.
    pub fn take_unforwarded(&mut self, is_near: impl Fn(&Update) -> bool) -> Vec<Update> {
        let mut taken = Vec::new();
        for rumor in &mut self.entries {
            if !rumor.forwarded && is_near(&rumor.update) {
                rumor.forwarded = true;
                taken.push(rumor.update.clone());
            }
        }
        taken
    }

    /// Bytes for the tag and length of a repeated field in a message.
    const FIELD_BYTES: usize = 3;
}
