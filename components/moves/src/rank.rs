//! Rendezvous hashing of members.

use std::rc;

use membership::Member;
use xxhash_rust::xxh3;

/// The member that ranks first for `key` (Thaler and Ravishankar, "Using Name-Based Mappings to
/// Increase Hit Rates", 1998).
///
/// Every node that knows the same members finds the same one, and the loss of a member moves only
/// what it ranked first for.
pub(crate) fn first<'a>(
    members: impl Iterator<Item = &'a rc::Rc<Member>>,
    key: &str,
) -> Option<&'a rc::Rc<Member>> {
    members.max_by_key(|member| weight(member, key))
}

/// The members that rank first and second for `key`.
pub(crate) fn first_two<'a>(
    members: impl Iterator<Item = &'a rc::Rc<Member>>,
    key: &str,
) -> Vec<&'a rc::Rc<Member>> {
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(weight(member, key)));
    ranked.truncate(2);
    ranked
}

fn weight(member: &Member, key: &str) -> u64 {
    xxh3::xxh3_64_with_seed(
        member.node.as_str().as_bytes(),
        xxh3::xxh3_64(key.as_bytes()),
    )
}
