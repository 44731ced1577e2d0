//! Bounds of a configuration.

/// Bounds of a configuration, the same on every node.
pub struct Limits;

impl Limits {
    /// Most services.
    pub const SERVICES: usize = 4_000;
    /// Most routes.
    pub const ROUTES: usize = 16_000;
    /// Most workspaces.
    pub const WORKSPACES: usize = 16_000;
    /// Most versions of one service that take traffic at a time.
    pub const WEIGHTS: usize = 8;
    /// Longest path prefix or host, in bytes.
    pub const TEXT_BYTES: usize = 512;
    /// Largest request body that a route may accept, in bytes.
    pub const BODY_BYTES: u64 = 1024 * 1024 * 1024;
    /// Longest deadline of a route, in milliseconds.
    pub const TIMEOUT_MS: u32 = 10 * 60 * 1000;
    /// Resources in one change.
    pub const RESOURCES: usize = 1_000;
    /// Settled operations that a snapshot remembers.
    pub const SETTLED: usize = 2_000;
}
