//! Acceptance and distribution among several nodes in one process, under faults at the interfaces.

mod accept;
mod bench;
mod bytes;
mod join;
mod spread;
