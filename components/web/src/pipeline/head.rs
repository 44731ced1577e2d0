//! End of a request in a buffer.

/// End of the first request in a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Head {
    /// The head is incomplete.
    Partial,
    /// A GET or HEAD request without a body, of this many bytes.
    Bodiless(usize),
    /// A request with a body, an upgrade or a malformed request, which hyper handles.
    Other,
}

impl Head {
    /// Maximum number of headers of a request that is handled here.
    const HEADERS: usize = 100;

    /// Finds the end of the first request in `bytes`.
    pub(crate) fn find(bytes: &[u8]) -> Self {
        if bytes.is_empty() {
            return Self::Partial;
        }
        let mut headers = [httparse::EMPTY_HEADER; Self::HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if may_be_bodiless(&request) => return Self::Partial,
            Ok(httparse::Status::Partial) | Err(_) => return Self::Other,
        };
        let plain = request.headers.iter().all(|header| is_plain(header.name));
        if may_be_bodiless(&request) && request.version == Some(1) && plain {
            Self::Bodiless(length)
        } else {
            Self::Other
        }
    }
}

fn may_be_bodiless(request: &httparse::Request<'_, '_>) -> bool {
    matches!(request.method, None | Some("GET" | "HEAD"))
}

/// Whether a header implies neither a body nor an upgrade.
fn is_plain(name: &str) -> bool {
    const OTHER: [&str; 4] = ["content-length", "transfer-encoding", "upgrade", "expect"];
    !OTHER.iter().any(|other| name.eq_ignore_ascii_case(other))
}
