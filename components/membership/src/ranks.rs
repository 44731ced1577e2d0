//! Order of members by rendezvous hashing, on which all nodes agree without messages.

use std::rc;

use xxhash_rust::xxh3;

use crate::{Member, State};

/// The first-ranked members of each data centre (Thaler and Ravishankar, rendezvous hashing, 1998).
#[derive(Debug, Clone, Default)]
pub struct Ranks {
    /// Sorted by data centre.
    centres: Vec<Ranked>,
}

#[derive(Debug, Clone)]
struct Ranked {
    name: units::DataCentre,
    /// Alive members, the highest-ranked first.
    first: Vec<(u64, rc::Rc<Member>)>,
}

impl Ranks {
    /// Members that are kept for each data centre.
    pub const KEPT: usize = 8;

    /// Ranks `members`; members that are not alive have no rank.
    #[must_use]
    pub fn new<'m>(members: impl Iterator<Item = &'m rc::Rc<Member>>) -> Self {
        let mut ranks = Self::default();
        for member in members.filter(|member| member.state == State::Alive) {
            ranks.add(member);
        }
        ranks
    }

    /// The first `count` members of data centre `name`.
    pub fn first(
        &self,
        name: &units::DataCentre,
        count: usize,
    ) -> impl Iterator<Item = &rc::Rc<Member>> {
        let place = self.centres.binary_search_by(|one| one.name.cmp(name));
        let first = place.map_or(&[][..], |place| &self.centres[place].first[..]);
        first.iter().take(count).map(|(_, member)| member)
    }

    /// Whether `node` is among the first `count` members of data centre `name`.
    #[must_use]
    pub fn is_first(&self, name: &units::DataCentre, count: usize, node: &units::Node) -> bool {
        self.first(name, count).any(|member| member.node == *node)
    }

    /// The data centres that have members.
    pub fn centres(&self) -> impl Iterator<Item = &units::DataCentre> {
        self.centres.iter().map(|centre| &centre.name)
    }

    fn add(&mut self, member: &rc::Rc<Member>) {
        let name = &member.data_centre;
        let place = self.centres.binary_search_by(|one| one.name.cmp(name));
        let place = place.unwrap_or_else(|place| {
            let ranked = Ranked {
                name: name.clone(),
                first: Vec::new(),
            };
            self.centres.insert(place, ranked);
            place
        });
        let first = &mut self.centres[place].first;
        let weight = xxh3::xxh3_64(member.node.as_str().as_bytes());
        let rank = first.partition_point(|(other, _)| *other > weight);
        if rank < Self::KEPT {
            first.insert(rank, (weight, member.clone()));
            first.truncate(Self::KEPT);
        }
    }
}
