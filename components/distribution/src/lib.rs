//! Acceptance of configuration changes, and their distribution to every node.

mod holder;
mod request;

pub use holder::Holder;
pub use request::{Accepted, Command, Verdict};
