//! The owner that keeps the record of an idempotency key.

use std::rc;
use std::time;

use crate::Endpoint;

/// Where a request with an idempotency key runs, and where it may have run before.
#[derive(Debug, Clone)]
pub struct Home {
    /// The owner that runs it now.
    pub endpoint: rc::Rc<Endpoint>,
    /// When this node first saw it as an owner of the service.
    pub joined: time::Instant,
    /// The owner that is told before it runs, the next-ranked one.
    pub backup: Option<rc::Rc<Endpoint>>,
    /// Owners that may have run it within the window, the likeliest first.
    pub past: Vec<Past>,
}

/// An owner that may have run a request with the key before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Past {
    /// The owner.
    pub node: units::Node,
    /// Where it can be asked; `None` when it is gone.
    pub address: Option<units::Address>,
    /// When this node first saw it as an owner of the service.
    pub joined: time::Instant,
    /// The owner that it told of the keys that it ran, if that was one and the same all the time.
    pub heir: Option<Heir>,
}

/// An owner that was told of the keys that another one ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heir {
    /// The owner.
    pub node: units::Node,
    /// When this node first saw it as an owner of the service.
    pub joined: time::Instant,
}
