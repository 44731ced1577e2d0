//! The newest entries of the log, kept for other nodes.

use std::collections;
use std::rc;

/// The newest entries, contiguous in version and bounded in number and bytes.
#[derive(Debug)]
pub(crate) struct Tail {
    entries: collections::VecDeque<rc::Rc<Vec<u8>>>,
    /// Version of the newest entry.
    last: units::Version,
    bytes: usize,
    most_entries: usize,
    most_bytes: usize,
}

impl Tail {
    /// Most bytes of entries in one message; a larger entry travels alone.
    const MESSAGE_BYTES: usize = 256 * 1024;

    pub(crate) fn new(most_entries: usize, most_bytes: usize) -> Self {
        Self {
            entries: collections::VecDeque::new(),
            last: units::Version::default(),
            bytes: 0,
            most_entries,
            most_bytes,
        }
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of the entries.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the entry of `version`; entries that do not reach up to it are dropped.
    pub(crate) fn push(&mut self, version: units::Version, encoded: Vec<u8>) {
        if version != self.last.next() {
            self.restart(version);
        }
        self.last = version;
        self.bytes += encoded.len();
        self.entries.push_back(rc::Rc::new(encoded));
        while self.entries.len() > self.most_entries || self.bytes > self.most_bytes {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.len();
        }
    }

    /// Drops all entries, after a checkpoint of `version` was put in force.
    pub(crate) fn restart(&mut self, version: units::Version) {
        self.entries.clear();
        self.bytes = 0;
        self.last = version;
    }

    /// The entries that follow `version`, as many as fit a message; `None` where some are missing.
    pub(crate) fn after(&self, version: units::Version) -> Option<Vec<Vec<u8>>> {
        let missing = self.last.0.saturating_sub(version.0);
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
