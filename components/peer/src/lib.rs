//! Request-reply messaging between nodes; a request names the service of the remote node that handles it.

mod aio;
mod client;
mod connection;
mod error;
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
