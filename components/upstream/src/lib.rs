//! Requests to one HTTP server: pooled connections, replayable bodies, and the outcome of each request.

mod cause;
mod connection;
mod dialer;
mod failure;
mod feed;
mod head;
mod line;
mod lines;
mod outcome;
mod patience;
mod payload;
mod pool;
mod reply;
mod sending;
mod server;
mod settings;
mod watched;

pub use cause::Cause;
pub use dialer::Dialer;
pub use failure::Failure;
pub use feed::{Error, Feed};
pub use lines::Lines;
pub use outcome::Outcome;
pub use patience::Patience;
pub use payload::{Fault, Payload};
pub use pool::{Counts, Pool};
pub use reply::{Lease, Reply};
pub use sending::Sending;
pub use server::{Protocol, Server};
pub use settings::Settings;
