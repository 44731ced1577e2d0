//! Recently finished requests.

/// Fingerprints of recently finished requests, in a table of fixed size.
///
/// A request that has finished many times, such as one for a popular page, does not become a suspect
/// because it was in flight in a crash. A later entry may overwrite an earlier one.
#[derive(Debug)]
pub struct Finished {
    slots: Vec<u64>,
}

impl Default for Finished {
    fn default() -> Self {
        Self {
            slots: vec![0; Self::SLOTS],
        }
    }
}

impl Finished {
    /// Number of slots in the table, a power of two.
    const SLOTS: usize = 4096;

    /// Records a finished request.
    pub fn add(&mut self, fingerprint: u64) {
        self.slots[Self::index(fingerprint)] = fingerprint;
    }

    /// Whether the request has finished recently.
    #[must_use]
    pub fn contains(&self, fingerprint: u64) -> bool {
        self.slots[Self::index(fingerprint)] == fingerprint
    }

    /// Removes all entries, for example when another version of the backend server has started.
    pub fn clear(&mut self) {
        self.slots.fill(0);
    }

    fn index(fingerprint: u64) -> usize {
        // The remainder is below SLOTS.
        #[allow(clippy::cast_possible_truncation)]
        let index = (fingerprint % Self::SLOTS as u64) as usize;
        index
    }
}
