//! Moves run by this node.

use compact_str::CompactString;

use crate::{Id, Policy};

/// Move run by this node; the evidence is kept for as long as the lease is renewed.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) id: Id,
    pub(crate) policy: Policy,
    /// Reason why the move currently takes no action.
    pub(crate) hold_reason: CompactString,
}
