//! What tells a request from others when backend servers crash.

use upstream::Payload;
use xxhash_rust::xxh3;

use crate::call::Headers;

/// What tells a request from others when backend servers crash.
pub struct Fingerprint {
    /// Hash of method, path, caller and key.
    base: u64,
    /// Body of the request.
    pub(super) payload: Payload,
}

impl Fingerprint {
    /// Of a request of `caller`, which is empty where requests of all callers are alike. Its length is
    /// left out: the same body may come with a length or in chunks.
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

    /// Its value, with the first bytes of the body that have come.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.base ^ self.payload.head_hash().rotate_left(1)
    }
}
