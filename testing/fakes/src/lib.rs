//! Small fakes at the interfaces of the components, for tests.

mod address;
mod faults;
mod link;
mod network;
mod store;

pub use address::free_address;
pub use faults::Faults;
pub use link::Link;
pub use network::Network;
pub use store::{Counts, Store};
