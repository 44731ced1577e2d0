//! The process beside each backend server: proxy, membership, distribution, moves, operator API.

pub mod admin;
pub mod announce;
pub mod ask;
pub mod assembly;
pub mod call;
pub mod clients;
pub mod dump;
pub mod evacuation;
pub mod metrics;
pub mod operator;
pub mod settings;
