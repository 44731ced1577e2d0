//! The platform's object API: versioned objects, conditional updates and watches.

mod error;
mod object;
mod store;

pub use error::Error;
pub use object::{Event, Events, Key, Listing, Object, Revision};
pub use store::Store;
