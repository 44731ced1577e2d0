//! Rendezvous hashing.

use xxhash_rust::xxh3;

/// Score of `node` for the key with this hash; the highest one wins.
///
/// D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998: a node
/// that comes or goes moves only the keys that are its own.
#[must_use]
pub fn rank(node: &units::Node, key: u64) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), key)
}
