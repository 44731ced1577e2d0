//! Tests of the relays of a fleet, with an in-memory network and store.

mod calls;
mod faults;
mod fleet;
mod store;
