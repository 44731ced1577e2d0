//! Requests that have finished of late.

/// Fingerprints of requests that have finished of late, in a table of fixed size.
///
/// A request that has finished many times, such as a popular page, is not blamed for a crash that
/// it happened to be in flight in. A later entry may take the place of an earlier one.
#[derive(Debug)]
pub struct Finished {
    places: Vec<u64>,
}

impl Default for Finished {
    fn default() -> Self {
        Self {
            places: vec![0; Self::PLACES],
        }
    }
}

impl Finished {
    /// Places of the table, a power of two.
    const PLACES: usize = 4096;

    /// Remembers a request that has finished.
    pub fn add(&mut self, fingerprint: u64) {
        self.places[Self::place(fingerprint)] = fingerprint;
    }

    /// Whether the request is remembered.
    #[must_use]
    pub fn contains(&self, fingerprint: u64) -> bool {
        self.places[Self::place(fingerprint)] == fingerprint
    }

    /// Forgets everything, such as when another version of the backend server has started.
    pub fn clear(&mut self) {
        self.places.fill(0);
    }

    fn place(fingerprint: u64) -> usize {
        // The remainder is below PLACES.
        #[allow(clippy::cast_possible_truncation)]
        let place = (fingerprint % Self::PLACES as u64) as usize;
        place
    }
}
