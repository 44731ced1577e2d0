//! An answer and its place on a connection.

use std::rc;
use std::time;

use hyper::body::Incoming;

use crate::connection::State;
use crate::lines::Busy;

/// An answer whose body may still be arriving.
pub struct Reply {
    /// Status, headers and arriving body.
    pub response: http::Response<Incoming>,
    /// To be kept until the body has ended.
    pub lease: Lease,
    /// Whether nothing else was sent where the answer came, so that it can be no second copy of an
    /// earlier one.
    pub is_first: bool,
}

/// A request's place on a connection, given back when dropped.
pub struct Lease {
    place: Place,
}

enum Place {
    /// Stream of an HTTP/2 connection.
    Stream(Stream),
    /// The whole of an HTTP/1.1 connection.
    Line(Busy),
}

struct Stream {
    state: rc::Rc<State>,
}

impl Lease {
    pub(crate) fn of_line(busy: Busy) -> Self {
        let place = Place::Line(busy);
        Self { place }
    }

    pub(crate) fn new(state: rc::Rc<State>) -> Self {
        let now = time::Instant::now();
        if state.in_flight.get() == 0 {
            state.busy_since.set(now);
        }
        state.in_flight.set(state.in_flight.get() + 1);
        let place = Place::Stream(Stream { state });
        Self { place }
    }

    /// Takes the connection out of use, where it carries one request at a time: what came on it
    /// belongs to another request.
    pub fn retire(self) {
        if let Place::Line(busy) = self.place {
            busy.retire();
        }
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        match &self.place {
            Place::Stream(stream) => stream.state.closed.get(),
            Place::Line(busy) => busy.is_closed(),
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.state.retire_if_silent();
        self.state.in_flight.set(self.state.in_flight.get() - 1);
    }
}
