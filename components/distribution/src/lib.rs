//! Accepts configuration changes and distributes them to every node.
//!
//! A change is accepted once its entry is in the platform's log. Entries are created conditionally,
//! which gives all changes a single total order. Nodes receive new entries from the watchers of their
//! data centre and from each other. Each node holds one snapshot, which is replaced as a whole and
//! whose version never decreases.

mod accept;
mod archive;
mod broadcast;
mod checkpoint;
mod checkpointing;
mod commit;
mod core;
mod counts;
mod fetch;
mod handle;
mod holder;
mod join;
pub mod mirror;
mod overlay;
mod peer_versions;
mod repair;
mod request;
mod serve;
mod service;
mod settings;
mod state;
mod status;
mod sync;
mod tail;
mod watch;

pub use counts::{Counts, Violations};
pub use handle::{Dump, Handle};
pub use holder::Holder;
pub use mirror::Mirror;
pub use request::{Accepted, Command, Verdict};
pub use service::{Parts, Service};
pub use settings::{Mode, Settings};
pub use state::{InForce, Refused};
