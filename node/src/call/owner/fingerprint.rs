//! What tells a request from others when backend servers crash.

use upstream::Payload;
use xxhash_rust::xxh3;

use crate::call::Headers;

/// What tells a request from others when backend servers crash.
pub(crate) struct Fingerprint {
    /// Hash of method, path, length and key.
    base: u64,
    /// Body of the request.
    pub(super) payload: Payload,
}

impl Fingerprint {
    pub(super) fn new(head: &http::request::Parts, payload: Payload) -> Self {
        let mut text = compact_str::CompactString::from(head.method.as_str());
        text.push(' ');
        text.push_str(head.uri.path_and_query().map_or("/", |path| path.as_str()));
        let mut base = xxh3::xxh3_64(text.as_bytes());
        for name in [http::header::CONTENT_LENGTH, Headers::KEY] {
            if let Some(value) = head.headers.get(name) {
                base = xxh3::xxh3_64_with_seed(value.as_bytes(), base);
            }
        }
        Self { base, payload }
    }

    /// Its value, with the first bytes of the body that have come.
    pub(super) fn value(&self) -> u64 {
        self.base ^ self.payload.head_hash().rotate_left(1)
    }
}
