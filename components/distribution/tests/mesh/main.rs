//! Acceptance and distribution among several nodes in one process, with injected network and store faults.

mod accept;
mod broadcast;
mod bytes;
mod join;
mod mesh;
