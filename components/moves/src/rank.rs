//! Rendezvous hashing of members.

use std::rc;

use membership::Member;
use xxhash_rust::xxh3;

/// The member that ranks first for `key` (Thaler and Ravishankar, "Using Name-Based Mappings to
/// Increase Hit Rates", 1998).
///
/// Nodes that know the same members agree on the result, and the loss of a member only affects the
/// keys for which it ranks first.
pub(crate) fn first<'a>(
    members: impl Iterator<Item = &'a rc::Rc<Member>>,
    key: &str,
) -> Option<&'a rc::Rc<Member>> {
    let seed = xxh3::xxh3_64(key.as_bytes());
    members.max_by_key(|member| weight(member, seed))
}

/// The members that rank first and second for `key`.
pub(crate) fn first_two<'a>(
    members: impl Iterator<Item = &'a rc::Rc<Member>>,
    key: &str,
) -> Vec<&'a rc::Rc<Member>> {
    let seed = xxh3::xxh3_64(key.as_bytes());
    let mut best: Vec<(u64, &rc::Rc<Member>)> = Vec::with_capacity(3);
    for member in members {
        best.push((weight(member, seed), member));
        best.sort_by_key(|one| std::cmp::Reverse(one.0));
        best.truncate(2);
    }
    best.into_iter().map(|one| one.1).collect()
}

fn weight(member: &Member, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(member.node.as_str().as_bytes(), seed)
}
