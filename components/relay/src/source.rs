//! Sources of changes.

use std::fmt;

/// Where changes of a feed come from, in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source<'a> {
    /// A push of this node.
    Push(&'a units::Node),
    /// The reply of the node at this address.
    Reply(units::Address),
    /// A read of the store by this node.
    Store,
}

impl fmt::Display for Source<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Push(node) => write!(f, "push of {node}"),
            Self::Reply(address) => write!(f, "reply of {address}"),
            Self::Store => f.write_str("store"),
        }
    }
}
