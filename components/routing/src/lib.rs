//! Choice of a route, a version and a backend server for each request.

mod focus;
mod observer;
mod withheld;

pub use focus::Focus;
pub use observer::{Observer, Sample};
pub use withheld::Withheld;
