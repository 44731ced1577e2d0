//! Acceptance of configuration changes, and their distribution to every node.
//!
//! A change is accepted once it stands in the platform's log; the log's conditional create is the
//! one order of all changes. Nodes learn of new entries from the watchers of their data centre and
//! from each other, and hold one snapshot that is swapped whole and never goes down in version.

mod accept;
mod archive;
mod checkpoint;
mod commit;
mod core;
mod counts;
mod fetch;
mod handle;
mod holder;
mod join;
mod keep;
mod known;
pub mod mirror;
mod overlay;
mod repair;
mod request;
mod serve;
mod service;
mod settings;
mod spread;
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
