//! The platform's object API: versioned objects, conditional updates and watches.
//!
//! [`Store`] is the interface, [`Client`] speaks it over HTTP, and [`Lease`] builds leases with
//! fencing tokens on it.

mod backoff;
mod breaker;
mod bucket;
mod client;
mod counts;
mod error;
mod lease;
mod object;
mod settings;
mod store;
mod wire;

pub use backoff::Backoff;
pub use breaker::Breaker;
pub use bucket::Bucket;
pub use client::Client;
pub use counts::Counts;
pub use error::Error;
pub use lease::{Lease, Observed, Record};
pub use object::{Event, Events, Key, Listing, Object, Revision};
pub use settings::Settings;
pub use store::Store;
