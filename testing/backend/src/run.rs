//! One request that a backend server ran.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

units::record! {
    /// A request whose execution began.
    #[derive(Serialize, Deserialize)]
    pub struct Run {
        /// Number of the run in its process.
        pub number: u64,
        /// Process that ran it.
        pub instance: u64,
        /// Version that ran it.
        pub version: CompactString,
        /// Id of the request in the mesh.
        pub request: CompactString,
        /// The caller's own id of the call.
        pub call: CompactString,
        /// Idempotency key, or nothing.
        pub key: CompactString,
        /// Method.
        pub method: CompactString,
        /// Path.
        pub path: CompactString,
        /// Attempt, as the mesh counts.
        pub attempt: u64,
        /// Bytes of its body.
        pub body_bytes: u64,
        /// Start.
        pub start: units::Wall,
        /// Milliseconds since the process began to leave; none while it was not leaving.
        pub leaving_ms: Option<u64>,
        /// Requests a second that the process named then; none where it named none.
        #[serde(default)]
        pub rate_limit: Option<units::Rate>,
        /// End, once there is one.
        pub end: Option<units::Wall>,
        /// How it ended, once it did.
        pub ending: Option<Ending>,
    }

    /// A line of the record file.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Event {
        /// A request's execution began.
        Start(Box<Run>),
        /// It ended: instance, number, time and how.
        End(u64, u64, units::Wall, Ending),
    }
}

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Answered with success.
    Answered,
    /// Answered with an error of the backend server.
    Failed,
    /// Cancelled by the caller or its connection.
    Cancelled,
    /// Stopped when its deadline passed.
    Expired,
    /// It crashed the process.
    Crashed,
}
