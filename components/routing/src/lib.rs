//! Choice of a route, a version and a backend server for each request.

mod choice;
mod directory;
mod endpoint;
mod flight;
mod focus;
mod group;
mod health;
mod home;
mod observer;
mod owners;
mod policy;
mod rank;
mod rotation;
mod soonest;
mod splits;
mod table;
mod usual;
mod versions;
mod withheld;

pub use choice::choose;
pub use directory::Directory;
pub use endpoint::Endpoint;
pub use flight::Flight;
pub use focus::Focus;
pub use group::Group;
pub use health::{Health, Verdict};
pub use home::{Heir, Home, Past};
pub use observer::{Observer, Sample};
pub use policy::{Placing, Policy};
pub use rank::rank;
pub use rotation::Rotation;
pub use splits::{Drawn, Splits, Trial};
pub use table::Table;
pub use usual::Usual;
pub use versions::{draw, fall_back};
pub use withheld::Withheld;
