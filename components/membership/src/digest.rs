//! Hashes over the running members, used to find the records in which two nodes differ.

use schema::membership as wire;
use xxhash_rust::xxh3;

use crate::{Member, State};

/// Hashes over the running members, by data centre and bucket.
///
/// Only a member's id and incarnation are hashed: gossip resolves suspicions quickly, and a node that
/// still lists failed or left members must not bring them back.
#[derive(Debug, Clone, Default)]
pub struct Digest {
    /// Sorted by name.
    centres: Vec<Centre>,
}

#[derive(Debug, Clone)]
struct Centre {
    name: units::DataCentre,
    members: u32,
    buckets: Vec<u64>,
}

impl Digest {
    /// Number of buckets per data centre.
    pub const BUCKETS: usize = 64;

    /// Returns the bucket of `node`.
    #[must_use]
    pub fn bucket(node: &units::Node) -> usize {
        let hash = xxh3::xxh3_64(node.as_str().as_bytes());
        // The remainder is below 64, so the cast is lossless.
        (hash % Self::BUCKETS as u64) as usize
    }

    /// Adds `member` if its state is alive or suspect.
    pub fn add(&mut self, member: &Member) {
        if !is_running(member) {
            return;
        }
        let centre = self.centre_entry(&member.data_centre);
        centre.members += 1;
        centre.buckets[Self::bucket(&member.node)] ^= hash(member);
    }

    /// Removes `member`, which must have been added before.
    pub fn remove(&mut self, member: &Member) {
        if !is_running(member) {
            return;
        }
        let centre = self.centre_entry(&member.data_centre);
        centre.members = centre.members.saturating_sub(1);
        centre.buckets[Self::bucket(&member.node)] ^= hash(member);
    }

    /// Returns the hash of each data centre that has members, without buckets.
    #[must_use]
    pub fn summary(&self) -> Vec<wire::Centre> {
        let used = self.centres.iter().filter(|centre| centre.members > 0);
        used.map(|centre| centre.encode(false)).collect()
    }

    /// Returns the data centres in which `other` differs, with the buckets of this digest.
    #[must_use]
    pub fn differing(&self, other: &[wire::Centre]) -> Vec<wire::Centre> {
        let mut differing = Vec::new();
        for centre in &self.centres {
            let theirs = other.iter().find(|one| one.name == centre.name.as_str());
            let same = match theirs {
                Some(theirs) => theirs.hash == centre.hash(),
                None => centre.members == 0,
            };
            if !same {
                differing.push(centre.encode(true));
            }
        }
        let unknown = |one: &&wire::Centre| !self.centres.iter().any(|own| own.is_named(&one.name));
        for theirs in other.iter().filter(unknown) {
            differing.push(wire::Centre {
                name: theirs.name.clone(),
                members: 0,
                hash: 0,
                buckets: vec![0; Self::BUCKETS],
            });
        }
        differing
    }

    /// Returns the numbers of the buckets in which `theirs` differs from this digest.
    #[must_use]
    pub fn differing_buckets(&self, theirs: &wire::Centre) -> Vec<u32> {
        let own = self.centres.iter().find(|own| own.is_named(&theirs.name));
        let empty = vec![0; Self::BUCKETS];
        let own = own.map_or(&empty, |own| &own.buckets);
        let pairs = own.iter().zip(&theirs.buckets);
        let numbered = (0..).zip(pairs);
        let differing = numbered.filter(|(_, (own, theirs))| own != theirs);
        differing.map(|(number, _)| number).collect()
    }

    fn centre_entry(&mut self, name: &units::DataCentre) -> &mut Centre {
        let index = self.centres.binary_search_by(|one| one.name.cmp(name));
        let index = index.unwrap_or_else(|index| {
            let centre = Centre {
                name: name.clone(),
                members: 0,
                buckets: vec![0; Self::BUCKETS],
            };
            self.centres.insert(index, centre);
            index
        });
        &mut self.centres[index]
    }
}

impl Centre {
    fn is_named(&self, name: &str) -> bool {
        self.name.as_str() == name
    }

    fn hash(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for bucket in &self.buckets {
            hasher.update(&bucket.to_le_bytes());
        }
        hasher.digest()
    }

    fn encode(&self, with_buckets: bool) -> wire::Centre {
        let buckets = if with_buckets {
            self.buckets.clone()
        } else {
            Vec::new()
        };
        wire::Centre {
            name: self.name.to_string(),
            members: self.members,
            hash: self.hash(),
            buckets,
        }
    }
}

/// Returns whether `member` is neither dead nor left.
pub(crate) fn is_running(member: &Member) -> bool {
    matches!(member.state, State::Alive | State::Suspect)
}

fn hash(member: &Member) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(member.node.as_str().as_bytes());
    hasher.update(&member.incarnation.to_le_bytes());
    hasher.digest()
}
