//! The request path end to end: callers, ingress, owner and small backend servers on loopback.

mod backend;
mod caller;
mod fleet;
mod script;

mod bodies;
mod endless;
mod faults;
mod keys;
mod limits;
mod need;
mod places;
mod poison;
mod routes;
mod transit;
mod workspaces;
