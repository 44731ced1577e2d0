//! The announcement API for the backend server beside the node, served by gRPC.

mod api;
mod desk;
mod notice;

pub use api::Api;
pub use desk::{Desk, Message};
pub use notice::Notice;
