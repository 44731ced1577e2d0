//! Requests between nodes, addressed to a service of the other node by its name.

mod error;
mod incoming;
mod link;
mod router;

pub use error::Error;
pub use incoming::{Answer, Incoming};
pub use link::Link;
pub use router::Router;
