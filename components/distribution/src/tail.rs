//! In-memory tail of the log, kept for other nodes.

use std::collections;
use std::rc;

/// Newest entries, contiguous in version and limited in number and bytes.
#[derive(Debug)]
pub(crate) struct Tail {
    entries: collections::VecDeque<rc::Rc<Vec<u8>>>,
    /// Version of the newest entry.
    newest: units::Version,
    bytes: usize,
    max_entries: usize,
    max_bytes: usize,
}

impl Tail {
    /// Maximum bytes of entries in one message; a larger entry is sent alone.
    const MESSAGE_BYTES: usize = 256 * 1024;

    pub(crate) fn new(max_entries: usize, max_bytes: usize) -> Self {
        Self {
            entries: collections::VecDeque::new(),
            newest: units::Version::default(),
            bytes: 0,
            max_entries,
            max_bytes,
        }
    }

    /// Returns the number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the total size of the entries in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the entry of `version`; drops the earlier entries if it does not directly follow them.
    pub(crate) fn push(&mut self, version: units::Version, encoded: Vec<u8>) {
        if version != self.newest.next() {
            self.reset(version);
        }
        self.newest = version;
        self.bytes += encoded.len();
        self.entries.push_back(rc::Rc::new(encoded));
        while self.entries.len() > self.max_entries || self.bytes > self.max_bytes {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.len();
        }
    }

    /// Drops all entries, so that the next one follows `version`.
    pub(crate) fn reset(&mut self, version: units::Version) {
        self.entries.clear();
        self.bytes = 0;
        self.newest = version;
    }

    /// Returns the entries after `version`, as many as fit into a message; `None` if some are missing.
    pub(crate) fn after(&self, version: units::Version) -> Option<Vec<Vec<u8>>> {
        let missing = self.newest.0.saturating_sub(version.0);
        let missing = usize::try_from(missing).ok()?;
        let skip = self.entries.len().checked_sub(missing)?;
        let mut bytes = 0;
        let mut found = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            bytes += entry.len();
            if bytes > Self::MESSAGE_BYTES && !found.is_empty() {
                break;
            }
            found.push(entry.as_ref().clone());
        }
        Some(found)
    }
}
