//! Credentials of callers.

use config::key;
use http::header;

units::record! { eq:
    /// What a caller sends to show which workspace it belongs to.
    #[derive(Copy, Default)]
    pub enum Credential {
        /// The caller sent none.
        #[default]
        Missing,
        /// The caller sent something else than one key.
        Malformed,
        /// Digest of the key that the caller sent.
        Key(key::Digest),
    }
}

impl Credential {
    /// Longest key that is read, in bytes.
    const KEY_BYTES: usize = 512;

    /// Removes the header `authorization` and reads the key in it, which follows `scheme`.
    pub fn take(headers: &mut http::HeaderMap, scheme: &str) -> Self {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let credential = match (values.next(), values.next()) {
            (None, _) => Self::Missing,
            (Some(value), None) => {
                let key = read_key(value.as_bytes(), scheme.as_bytes());
                key.map_or(Self::Malformed, |key| Self::Key(key::Digest::of(key)))
            }
            (Some(_), Some(_)) => Self::Malformed,
        };
        headers.remove(header::AUTHORIZATION);
        credential
    }
}

/// The key in `SCHEME KEY`, with the scheme in any case, RFC 9110, section 11.4.
fn read_key<'v>(value: &'v [u8], scheme: &[u8]) -> Option<&'v [u8]> {
    let (given, rest) = value.split_at_checked(scheme.len())?;
    let key = rest.strip_prefix(b" ")?.trim_ascii();
    let fits = !key.is_empty() && key.len() <= Credential::KEY_BYTES;
    let is_one = key.iter().all(u8::is_ascii_graphic);
    (given.eq_ignore_ascii_case(scheme) && fits && is_one).then_some(key)
}
