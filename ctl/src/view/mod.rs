//! What commands print.

mod applied;
mod checked;
mod configuration;
mod difference;
mod dump;
mod moves;
mod status;

pub use applied::Applied;
pub use checked::Checked;
pub use configuration::Configuration;
pub use difference::{Difference, Line};
pub use dump::Dump;
pub use moves::{Evidence, List, Move, Progress};
pub use status::{Behind, Status};
