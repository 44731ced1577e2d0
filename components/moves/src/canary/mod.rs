//! Moves that last a few seconds and are requested by an order in the store.
//!
//! There is no runner: each node follows the same schedule from the time it receives the order, and
//! reports its request counts to the three highest-ranked nodes for the service. Each of these judges
//! independently; one that finds the new version bad notifies all nodes, which withhold it at once,
//! even while the store is unavailable. The end is written to the order's status with a conditional
//! update on its revision, so that it is written only once.

mod comparison;
mod cusum;
mod judge;
mod observations;
mod order;
mod orders;
mod recent;
mod reports;
mod rise;
mod schedule;
mod service;
mod status;
mod trial;

pub use judge::Judge;
pub use observations::{Observations, Route};
pub use order::{Order, Phase, Source};
pub use rise::Rise;
pub use schedule::Schedule;
pub use service::{Canary, NAME, Parts, Settings};
pub use trial::Recorder;
