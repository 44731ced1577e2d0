//! News that still has to be passed on, with a bound on how often.

use crate::Update;

/// News that still has to be passed on; each piece is sent a bounded number of times.
///
/// When each node sends a piece to ln(n) + c random members, all of n members get it with
/// probability exp(-exp(-c)) (Kermarrec et al., Probabilistic reliable dissemination in large-scale
/// systems, 2003). What is missed nevertheless is found by comparing digests.
#[derive(Debug, Default)]
pub struct Rumors {
    /// Sorted by node.
    entries: Vec<Rumor>,
}

#[derive(Debug)]
struct Rumor {
    update: Update,
    sent: u32,
    /// Whether other data centres have been told.
    forwarded: bool,
}

impl Rumors {
    /// Transmissions beyond the natural logarithm of the members; 99.7% of the news reaches all.
    const MARGIN: f64 = 6.0;

    /// How often a node passes on a piece of news among `members`.
    #[must_use]
    pub fn transmissions(members: usize) -> u32 {
        // Members are far fewer than what `f64` and `u32` can hold.
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let count = ((members as f64).ln() + Self::MARGIN).ceil() as u32;
        count
    }

    /// Adds news; it replaces older news of the same member.
    pub fn add(&mut self, update: Update) {
        let node = &update.member.node;
        let place = self
            .entries
            .binary_search_by(|one| one.update.member.node.cmp(node));
        let rumor = Rumor {
            update,
            sent: 0,
            forwarded: false,
        };
        match place {
            Ok(place) => self.entries[place] = rumor,
            Err(place) => self.entries.insert(place, rumor),
        }
    }

    /// Whether there is nothing to pass on.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Pieces of news that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether news of `node` is still being passed on.
    #[must_use]
    pub fn contains(&self, node: &units::Node) -> bool {
        let place = self
            .entries
            .binary_search_by(|one| one.update.member.node.cmp(node));
        place.is_ok()
    }

    /// Takes news of up to `limit` bytes for one message, the least sent first.
    ///
    /// News that has been sent `transmissions` times is dropped.
    pub fn take(&mut self, limit: usize, transmissions: u32) -> Vec<schema::membership::Update> {
        let mut order: Vec<_> = (0..self.entries.len()).collect();
        order.sort_by_key(|place| self.entries[*place].sent);
        let mut taken = Vec::new();
        let mut bytes = 0;
        for place in order {
            let rumor = &mut self.entries[place];
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

    /// Takes the news for other data centres: that of members for which `is_near` holds, once.
    pub fn take_far(&mut self, is_near: impl Fn(&Update) -> bool) -> Vec<Update> {
        let mut taken = Vec::new();
        for rumor in &mut self.entries {
            if !rumor.forwarded && is_near(&rumor.update) {
                rumor.forwarded = true;
                taken.push(rumor.update.clone());
            }
        }
        taken
    }

    /// Tag and length of a repeated field in a message.
    const FIELD_BYTES: usize = 3;
}
