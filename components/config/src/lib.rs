//! Configuration of the mesh: services, routes, changes, and immutable snapshots of the whole.

mod applied;
mod change;
mod difference;
mod finding;
mod idempotency;
pub mod key;
mod keys;
mod limits;
mod list;
mod part;
mod review;
mod route;
mod service;
mod settled;
mod snapshot;
mod weight;
mod workspace;

pub use applied::{Applied, Refusal};
pub use change::{Change, Put, Remove};
pub use difference::{Difference, Direction};
pub use finding::encode_findings;
pub use findings::{Finding, Findings};
pub use idempotency::Idempotency;
pub use limits::Limits;
pub use part::Part;
pub use review::Review;
pub use route::Route;
pub use service::Service;
pub use snapshot::Snapshot;
pub use weight::Weight;
pub use workspace::Workspace;
