//! Tests of the relays of a fleet, with an in-memory network and store.

mod calls;
mod certainty;
mod evidence;
mod faults;
mod fleet;
mod removals;
mod restored;
mod store;
