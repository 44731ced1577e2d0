//! Fingerprints that identify requests across crashes of backend servers.

use upstream::Payload;
use xxhash_rust::xxh3;

use crate::call::Headers;

/// Fingerprint that identifies a request across crashes of backend servers.
pub struct Fingerprint {
    /// Hash of method, path, caller and key.
    base: u64,
    /// Body of the request.
    pub(super) payload: Payload,
}

impl Fingerprint {
    /// Creates the fingerprint of a request of `caller`, which is empty if requests of all callers
    /// are treated alike. The body length is left out, because the same body may be sent with a
    /// length or in chunks.
    #[must_use]
    pub fn new(head: &http::request::Parts, caller: &str, payload: Payload) -> Self {
        let mut text = compact_str::CompactString::from(head.method.as_str());
        text.push(' ');
        text.push_str(head.uri.path_and_query().map_or("/", |path| path.as_str()));
        let mut base = xxh3::xxh3_64(text.as_bytes());
        base = xxh3::xxh3_64_with_seed(caller.as_bytes(), base);
        if let Some(key) = head.headers.get(Headers::KEY) {
            base = xxh3::xxh3_64_with_seed(key.as_bytes(), base);
        }
        Self { base, payload }
    }

    /// Returns the hash, including the first bytes of the body received so far.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.base ^ self.payload.head_hash().rotate_left(1)
    }
}
