//! HTTP/1.1, HTTP/2 and gRPC over compio: servers that shut down gracefully, and client connections.

mod body;
mod channel;
pub mod clients;
mod closing;
mod connection;
mod executor;
mod grpc;
mod pipeline;
mod server;
mod serving;
mod timer;
mod unframed;

pub use body::{Body, Fault};
pub use channel::Channel;
pub use closing::{announce_close, says_close};
pub use connection::Connection;
pub use executor::Executor;
pub use grpc::Grpc;
pub use server::{Handler, Limits, Peer, Server};
pub use timer::Timer;
pub use unframed::mark_unframed;
