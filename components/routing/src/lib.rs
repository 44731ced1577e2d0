//! Choice of a route, a version and a backend server for each request.

mod observer;
mod withheld;

pub use observer::{Observer, Sample};
pub use withheld::Withheld;
