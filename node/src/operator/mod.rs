//! The operator API, served by gRPC.

mod access;
mod api;
mod desk;

pub use access::Access;
pub use api::Api;
pub use desk::{Desk, Query};
