//! Small fakes at the interfaces of the components, for tests.

mod faults;
mod store;

pub use faults::Faults;
pub use store::{Counts, Store};
