//! Rendezvous hashing of keys to nodes.

use xxhash_rust::xxh3;

/// Returns the score of `node` for a key with the hash `key`; the node with the highest score owns it.
///
/// Rendezvous hashing (D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
/// 1998): a node that joins or leaves moves only the keys that it owns.
#[must_use]
pub fn rank(node: &units::Node, key: u64) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), key)
}
