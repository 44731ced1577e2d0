//! Requests between nodes, addressed to a service of the other node by its name.

mod client;
mod connection;
mod error;
mod exchange;
mod incoming;
mod link;
mod meter;
mod router;
mod server;
mod settings;

pub use client::Client;
pub use error::Error;
pub use incoming::{Answer, Incoming};
pub use link::Link;
pub use meter::{Counts, Meter, Traffic};
pub use router::Router;
pub use server::Server;
pub use settings::Settings;
