//! An answer and its place on a connection.

use std::rc;
use std::time;

use hyper::body::Incoming;

use crate::connection::State;

/// An answer whose body may still be arriving.
pub struct Reply {
    /// Status, headers and arriving body.
    pub response: http::Response<Incoming>,
    /// To be kept until the body has ended.
    pub lease: Lease,
}

/// A request's place on a connection, given back when dropped.
pub struct Lease {
    state: rc::Rc<State>,
}

impl Lease {
    pub(crate) fn new(state: rc::Rc<State>) -> Self {
        let now = time::Instant::now();
        if state.in_flight.get() == 0 {
            state.busy_since.set(now);
        }
        state.in_flight.set(state.in_flight.get() + 1);
        Self { state }
    }

    /// Whether the connection has failed to answer a ping.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.closed.get()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.state.in_flight.set(self.state.in_flight.get() - 1);
    }
}
