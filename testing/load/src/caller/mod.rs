//! Callers of the mesh: connections, calls, and what became of each.

mod call;
mod connection;
mod outcome;

pub use call::{Call, Verb};
pub use connection::{Connection, Protocol};
pub use outcome::{Outcome, Seen};
