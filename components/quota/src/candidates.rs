//! Order in which members may become the granter.

use std::rc;

use membership::{Member, View};
use xxhash_rust::xxh3;

/// Running members in the order of rendezvous hashing, cached for one generation of the view.
#[derive(Default)]
pub struct Candidates {
    generation: Option<u64>,
    ranked: rc::Rc<Vec<rc::Rc<Member>>>,
}

impl Candidates {
    /// Candidates that a wallet considers.
    const MOST: usize = 8;

    /// The first candidates of `view`.
    pub fn of(&mut self, view: &View) -> rc::Rc<Vec<rc::Rc<Member>>> {
        if self.generation != Some(view.generation()) {
            let mut ranked: Vec<_> = view.running().cloned().collect();
            ranked.sort_by_key(|member| std::cmp::Reverse(rank(&member.node)));
            ranked.truncate(Self::MOST);
            self.generation = Some(view.generation());
            self.ranked = rc::Rc::new(ranked);
        }
        self.ranked.clone()
    }
}

/// Rank of a node; the highest is the first candidate.
#[must_use]
pub fn rank(node: &units::Node) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), SEED)
}

/// Other roles are given by the hash without a seed; this one goes to other nodes.
const SEED: u64 = 0x71;
