//! Reply to an announcement.

use std::time;

/// Reply to an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnnounceReply {
    /// Time until the next announcement is due.
    pub next_due: time::Duration,
    /// Whether a previous process of this node had reported this backend server process as leaving. The
    /// server then remains leaving regardless of its announcements.
    pub leaving: bool,
}
