//! Effect of an answer on the rate limit of a backend server.

/// Effect of an answer on the rate limit of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The rate limit is unchanged.
    None,
    /// The answer advertises a rate that differs from the one `before`.
    Set {
        /// New rate, in requests per second.
        rate: units::Rate,
        /// Previous rate, if any.
        before: Option<units::Rate>,
    },
    /// The answer advertises no rate any more.
    Lifted {
        /// Previous rate.
        before: units::Rate,
    },
    /// The answer advertises a rate that cannot be parsed; the rate `kept` stays in effect.
    Unreadable {
        /// Rate in effect, if any.
        kept: Option<units::Rate>,
    },
}
