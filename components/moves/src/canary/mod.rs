//! Moves of seconds that an order in the store asks for.
//!
//! There is no runner: each node follows the same schedule from when it heard of the order, and tells
//! the three nodes that rank first for the service what it saw. These judge alone, and whoever finds
//! the new version bad tells all nodes, which withhold it at once, with the store down too. The end
//! is written to the order's status on the condition of its revision, so that it is written once.

mod ending;
mod judge;
mod order;
mod orders;
mod reports;
mod schedule;
mod service;
mod sight;
mod trial;

pub use judge::Judge;
pub use order::{Order, Phase, Source};
pub use schedule::Schedule;
pub use service::{Canary, NAME, Parts, Settings};
pub use sight::{Route, Sight};
pub use trial::Recorder;
