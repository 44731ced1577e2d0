//! Settings files in JSON, checked whole before anything starts.
//!
//! A program has one struct of settings that implements [`Document`]. Shape, types and units are
//! checked against the JSON schema of the struct, so that every problem is reported at once; what
//! spans several fields is checked by the struct itself.

mod load;
mod reference;

pub use findings::{Finding, Findings};
pub use load::{Document, Error, load, parse};
pub use reference::reference;
