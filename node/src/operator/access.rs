//! Checks the token that operators send.

use compact_str::CompactString;
use tonic::service::Interceptor;

/// Lets calls pass that carry `authorization: Bearer TOKEN` with the right token.
#[derive(Clone)]
pub struct Access {
    expected: CompactString,
}

impl Access {
    /// Expects `token`.
    #[must_use]
    pub fn new(token: &str) -> Self {
        let expected = compact_str::format_compact!("Bearer {token}");
        Self { expected }
    }

    /// Compares in a time that does not depend on where the first difference is.
    fn admits(&self, sent: &[u8]) -> bool {
        let expected = self.expected.as_bytes();
        let mut difference = u8::from(sent.len() != expected.len());
        for (one, other) in sent.iter().zip(expected) {
            difference |= one ^ other;
        }
        difference == 0
    }
}

impl Interceptor for Access {
    fn call(&mut self, request: tonic::Request<()>) -> Result<tonic::Request<()>, tonic::Status> {
        let sent = request.metadata().get("authorization");
        match sent {
            Some(sent) if self.admits(sent.as_bytes()) => Ok(request),
            Some(_) => Err(tonic::Status::unauthenticated("the token is wrong")),
            None => Err(tonic::Status::unauthenticated(
                "send the header `authorization: Bearer TOKEN`",
            )),
        }
    }
}
