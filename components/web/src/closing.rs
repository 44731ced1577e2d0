//! Announcements that a connection closes.

use http::header;

/// Announces that the connection closes after the message with these `headers`.
pub fn announce_close(headers: &mut http::HeaderMap) {
    let close = http::HeaderValue::from_static("close");
    headers.insert(header::CONNECTION, close);
}

/// Whether the sender of a message with these `headers` closes the connection after it.
#[must_use]
pub fn says_close(headers: &http::HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut values = values.filter_map(|value| value.to_str().ok());
    values.any(|value| {
        let mut options = value.split(',').map(str::trim);
        options.any(|option| option.eq_ignore_ascii_case("close"))
    })
}
