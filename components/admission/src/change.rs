//! How an answer changed what is known of a backend server's rate.

/// How an answer changed what is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// Nothing has changed.
    None,
    /// It names a rate, other than the one `before`.
    Named {
        /// Requests a second.
        rate: units::Rate,
        /// The rate before, if one was named.
        before: Option<units::Rate>,
    },
    /// It no longer names the rate `before`.
    Lifted {
        /// The rate before.
        before: units::Rate,
    },
    /// What it names cannot be read; the rate `kept` stays.
    Unreadable {
        /// The rate before, if one was named.
        kept: Option<units::Rate>,
    },
}
