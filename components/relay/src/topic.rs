//! Prefixes that the relay follows.

use std::time;

/// Prefix of objects that the relay follows, and the timing of its watches.
#[derive(Debug, Clone, Copy)]
pub struct Topic {
    /// Prefix of the keys.
    pub prefix: &'static str,
    /// Longest wait of one call to watch the store; `None` if its watches follow the schedule by which the
    /// watchers obtain evidence. A watch that delivers no more events is detected after this time, or
    /// when another node has a newer revision.
    pub wait: Option<time::Duration>,
    /// Pause of a watch after a change, which limits the number of calls during a burst of changes.
    pub pause: time::Duration,
    /// Version in the value of an object; `None` if it has none. A store that comes back from a copy shows
    /// older versions at newer revisions.
    pub version: fn(&[u8]) -> Option<u64>,
    /// Whether removed objects are followed, too.
    pub removals: bool,
}
