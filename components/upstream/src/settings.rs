//! Bounds of pooled connections.

use serde::{Deserialize, Serialize};

units::record! {
    /// Bounds of the connections to one server, and of new connections in all.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Version of HTTP that backend servers speak; nodes speak HTTP/2 with each other.
        pub backend_protocol: crate::Protocol,
        /// Most connections to one server.
        pub connections: usize,
        /// Requests on one connection after which another one is opened.
        pub streams: usize,
        /// Time for opening a connection, the server's settings included.
        pub connect_timeout: units::Period,
        /// Interval of pings on a connection that has requests.
        pub ping_interval: units::Period,
        /// Time for the answer to a ping, after which the connection is retired: requests that may be sent
        /// again end, the others wait on.
        pub ping_timeout: units::Period,
        /// Silence after which a connection gets no new requests.
        pub silent_after: units::Period,
        /// Connections opened a second, by the whole process.
        pub dials_per_second: u32,
        /// Longest wait before a server is dialled again after failures.
        pub dial_backoff: units::Period,
        /// Bytes of a request's body that are kept so that it can be sent again.
        pub replay: units::Size,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            backend_protocol: crate::Protocol::default(),
            connections: 4,
            streams: 100,
            connect_timeout: units::Period::from_millis(500),
            ping_interval: units::Period::from_millis(400),
            ping_timeout: units::Period::from_millis(1_000),
            silent_after: units::Period::from_millis(700),
            dials_per_second: 500,
            dial_backoff: units::Period::from_millis(1_000),
            replay: units::Size(64 * 1024),
        }
    }
}
