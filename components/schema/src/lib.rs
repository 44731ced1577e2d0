//! Messages and services of the protobuf schema, generated from `proto/`.
//!
//! `cargo run -p generate` writes `src/generated`; CI fails when it differs from what is committed.

#[allow(missing_docs, clippy::all, clippy::too_many_lines, unreachable_pub)]
#[rustfmt::skip]
mod generated {
    pub mod admission { pub mod v1 { include!("generated/radishgap.admission.v1.rs"); } }
    pub mod announce { pub mod v1 { include!("generated/radishgap.announce.v1.rs"); } }
    pub mod config { pub mod v1 { include!("generated/radishgap.config.v1.rs"); } }
    pub mod distribution { pub mod v1 { include!("generated/radishgap.distribution.v1.rs"); } }
    pub mod membership { pub mod v1 { include!("generated/radishgap.membership.v1.rs"); } }
    pub mod moves { pub mod v1 { include!("generated/radishgap.moves.v1.rs"); } }
    pub mod operator { pub mod v1 { include!("generated/radishgap.operator.v1.rs"); } }
    pub mod peer { pub mod v1 { include!("generated/radishgap.peer.v1.rs"); } }
    pub mod quota { pub mod v1 { include!("generated/radishgap.quota.v1.rs"); } }
    pub mod relay { pub mod v1 { include!("generated/radishgap.relay.v1.rs"); } }
}

/// Messages about requests that crash backend servers.
pub use generated::admission::v1 as admission;
/// Announcements of backend servers.
pub use generated::announce::v1 as announce;
/// Configuration resources and the log.
pub use generated::config::v1 as config;
/// Messages of the distribution service.
pub use generated::distribution::v1 as distribution;
/// Messages of the membership service.
pub use generated::membership::v1 as membership;
/// Objects of moves and messages of the moves service.
pub use generated::moves::v1 as moves;
/// Remote procedure calls for operators.
pub use generated::operator::v1 as operator;
/// Envelope of messages between nodes.
pub use generated::peer::v1 as peer;
/// Messages of the quota service.
pub use generated::quota::v1 as quota;
/// Messages of the relay.
pub use generated::relay::v1 as relay;
