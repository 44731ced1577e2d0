//! Bounds on what the clients of a listener hold: memory for what waits for them, and places for connections.
//!
//! Clients that nobody controls may take long answers slowly, or not at all. Each connection is charged
//! with what it holds, and the sum is bounded: when it is short, the connection whose client takes least is
//! closed, and what could not be held is refused. A client that takes next to nothing for some time is
//! closed in any case.

mod answer;
mod client;
mod counts;
mod limits;
mod progress;
mod registry;
mod stream;

pub use counts::Counts;
pub use limits::Limits;
pub use registry::Monitor;

pub(crate) use answer::Answer;
pub(crate) use client::{Client, Running};
pub(crate) use registry::Registry;
pub(crate) use stream::Metered;

/// Mark of a request for whose answer the server has no memory left; the handler refuses it.
///
/// The server adds it to the extensions of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Short;
