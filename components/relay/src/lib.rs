//! Distributes the changes that a few nodes read from the store to all nodes.
//!
//! The first-ranked nodes of a few data centres watch the store. Each sends changes and heartbeats to
//! the first-ranked node of every data centre, which forwards them along a tree of the nodes in its data
//! centre. A node that receives nothing pulls from other nodes, and reads the store itself if none of
//! them has a current state. A wrong view of the members thus causes additional calls to the store,
//! but never an outdated state.

mod answer;
mod candidate;
mod certainty;
mod counts;
mod delta;
mod dump;
mod encoding;
mod entry;
mod evidence;
mod feed;
mod feed_writer;
mod freshness;
mod intervals;
mod origin;
mod place;
mod proof;
mod pull;
mod question;
mod relay;
mod replica;
mod role;
mod schedule;
mod settings;
mod shared;
mod source;
mod spread;
mod topic;
mod tree;

pub use candidate::Candidate;
pub use certainty::{Certainty, Limits};
pub use counts::Counts;
pub use delta::Delta;
pub use dump::{Dump, Head};
pub use evidence::Evidence;
pub use feed::{Change, Feed, Outcome};
pub use freshness::Freshness;
pub use intervals::Intervals;
pub use place::Place;
pub use proof::Proof;
pub use relay::{Parts, Relay};
pub use replica::Replica;
pub use schedule::next_wait;
pub use settings::Settings;
pub use topic::Topic;
pub use tree::split;
