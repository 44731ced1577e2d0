//! A request under way to a backend server.

use std::rc;

use crate::Endpoint;

/// A request under way to a backend server, counted until dropped.
#[derive(Debug)]
pub struct Flight {
    endpoint: rc::Rc<Endpoint>,
}

impl Flight {
    pub(crate) fn new(endpoint: rc::Rc<Endpoint>) -> Self {
        endpoint.in_flight.set(endpoint.in_flight.get() + 1);
        Self { endpoint }
    }

    /// Where it goes.
    #[must_use]
    pub fn endpoint(&self) -> &rc::Rc<Endpoint> {
        &self.endpoint
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.endpoint
            .in_flight
            .set(self.endpoint.in_flight.get() - 1);
    }
}
