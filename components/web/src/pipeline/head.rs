//! Where a request ends.

/// Where the first request in some bytes ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Head {
    /// More bytes have to come.
    Partial,
    /// It is a GET or HEAD request without a body, of this many bytes.
    Bodiless(usize),
    /// It has a body, asks for another protocol, or is malformed: hyper deals with it.
    Other,
}

impl Head {
    /// Most headers of a request that is taken apart here.
    const HEADERS: usize = 100;

    /// Looks for the end of the first request in `bytes`.
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

/// Whether a header leaves the request without a body and on this protocol.
fn is_plain(name: &str) -> bool {
    const OTHER: [&str; 4] = ["content-length", "transfer-encoding", "upgrade", "expect"];
    !OTHER.iter().any(|other| name.eq_ignore_ascii_case(other))
}
