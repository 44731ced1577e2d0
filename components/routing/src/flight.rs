//! Guard that counts a request in flight.

use std::rc;

use crate::Endpoint;

/// Guard that counts a request as in flight to a backend server until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    endpoint: rc::Rc<Endpoint>,
}

impl InFlightGuard {
    pub(crate) fn new(endpoint: rc::Rc<Endpoint>) -> Self {
        endpoint.in_flight.set(endpoint.in_flight.get() + 1);
        let mut remaining = endpoint.remaining.get();
        remaining.send();
        endpoint.remaining.set(remaining);
        Self { endpoint }
    }

    /// Returns the endpoint to which the request was sent.
    #[must_use]
    pub fn endpoint(&self) -> &rc::Rc<Endpoint> {
        &self.endpoint
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.endpoint
            .in_flight
            .set(self.endpoint.in_flight.get() - 1);
    }
}
