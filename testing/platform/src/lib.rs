//! Stand-in for the platform's object API, with rate limits, call counts and switchable faults.
//!
//! Objects are versioned by the revision of the whole store, writes are conditional, and watches
//! wait for changes below a prefix. A control port switches faults and shows counts and state.

mod api;
mod body;
mod control;
mod counts;
mod faults;
mod handle;
mod limiter;
mod objects;
mod server;
mod settings;
mod shared;

pub use counts::Counts;
pub use faults::Faults;
pub use handle::Handle;
pub use objects::Copy;
pub use server::{Error, Server};
pub use settings::Settings;
