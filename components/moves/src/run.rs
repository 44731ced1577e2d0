//! A move that this node runs.

use compact_str::CompactString;

use crate::{Id, Policy};

/// A move that this node runs; the evidence stays while its lease is renewed.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) id: Id,
    pub(crate) policy: Policy,
    /// Why nothing is done at the moment.
    pub(crate) waiting: CompactString,
}
