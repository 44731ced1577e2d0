//! The platform's object API: versioned objects, conditional updates and watches.
//!
//! [`Store`] is the interface, [`Client`] speaks it over HTTP in the [`Form`] of a store, and [`Lease`] builds leases with
//! fencing tokens on it, and [`Follower`] keeps up with the objects below a prefix.

mod backoff;
mod breaker;
mod bucket;
mod client;
mod counts;
mod era;
mod eras;
mod error;
mod follower;
mod form;
mod lease;
mod native;
mod nudge;
mod object;
mod revision;
mod settings;
mod store;
mod wire;

pub use backoff::Backoff;
pub use breaker::Breaker;
pub use bucket::Bucket;
pub use client::Client;
pub use counts::Counts;
pub use era::Era;
pub use error::Error;
pub use follower::{Follow, Follower, Pace, proven_by_watch};
pub use form::{Answer, Ask, Form, Page};
pub use lease::{Lease, Observed, Record};
pub use native::Native;
pub use nudge::Nudge;
pub use object::{Event, Events, Key, Listing, Object};
pub use revision::Revision;
pub use settings::Settings;
pub use store::Store;
