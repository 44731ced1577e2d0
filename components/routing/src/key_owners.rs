//! Owners that hold, or may hold, the record of an idempotency key.

use std::rc;
use std::time;

use crate::Endpoint;

/// Owner that runs a request with an idempotency key, and the previous owners that may have run it.
#[derive(Debug, Clone)]
pub struct KeyOwners {
    /// Owner that runs the request now.
    pub owner: rc::Rc<Endpoint>,
    /// Time at which this node first saw that owner as an owner of the service.
    pub joined: time::Instant,
    /// Next-ranked owner, which is notified before the request runs.
    pub backup: Option<rc::Rc<Endpoint>>,
    /// Previous owners that may have run the request within the window, the most likely first.
    pub previous: Vec<PreviousOwner>,
}

/// Previous owner that may have run a request with the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreviousOwner {
    /// Node id of the previous owner.
    pub node: units::Node,
    /// Address at which the previous owner can be asked; `None` if it is gone.
    pub address: Option<units::Address>,
    /// Time at which this node first saw it as an owner of the service.
    pub joined: time::Instant,
    /// Owner that was notified of the keys that it ran, if that was the same one all the time.
    pub backup: Option<Backup>,
}

/// Backup of a previous owner, which was notified of the keys that the previous owner ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backup {
    /// Node id of the backup.
    pub node: units::Node,
    /// Time at which this node first saw it as an owner of the service.
    pub joined: time::Instant,
}
