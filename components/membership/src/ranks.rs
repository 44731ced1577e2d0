//! Ranking of members by rendezvous hashing, which all nodes compute identically without coordination.

use std::rc;

use xxhash_rust::xxh3;

use crate::{Member, State};

/// The highest-ranked members of each data centre (Thaler and Ravishankar, rendezvous hashing, 1998).
#[derive(Debug, Clone, Default)]
pub struct Ranks {
    /// Sorted by data centre.
    centres: Vec<CentreRanking>,
}

#[derive(Debug, Clone)]
struct CentreRanking {
    name: units::DataCentre,
    /// Alive members with their weights, the highest-ranked first.
    first: Vec<(u64, rc::Rc<Member>)>,
}

impl Ranks {
    /// Number of members kept for each data centre.
    pub const MEMBERS_PER_CENTRE: usize = 8;

    /// Ranks `members`, ignoring those that are not alive.
    #[must_use]
    pub fn new<'m>(members: impl Iterator<Item = &'m rc::Rc<Member>>) -> Self {
        let mut ranks = Self::default();
        for member in members.filter(|member| member.state == State::Alive) {
            ranks.add(member);
        }
        ranks
    }

    /// The `count` highest-ranked members of data centre `name`.
    pub fn first(
        &self,
        name: &units::DataCentre,
        count: usize,
    ) -> impl Iterator<Item = &rc::Rc<Member>> {
        let index = self.centres.binary_search_by(|one| one.name.cmp(name));
        let first = index.map_or(&[][..], |index| &self.centres[index].first[..]);
        first.iter().take(count).map(|(_, member)| member)
    }

    /// Whether `node` is among the `count` highest-ranked members of data centre `name`.
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
        let index = self.centres.binary_search_by(|one| one.name.cmp(name));
        let index = index.unwrap_or_else(|index| {
            let ranking = CentreRanking {
                name: name.clone(),
                first: Vec::new(),
            };
            self.centres.insert(index, ranking);
            index
        });
        let first = &mut self.centres[index].first;
        let weight = xxh3::xxh3_64(member.node.as_str().as_bytes());
        let rank = first.partition_point(|(other, _)| *other > weight);
        if rank < Self::MEMBERS_PER_CENTRE {
            first.insert(rank, (weight, member.clone()));
            first.truncate(Self::MEMBERS_PER_CENTRE);
        }
    }
}
