//! Newtypes for ids, sizes, rates and times, and the macros that give types their common derives.

mod address;
mod data_centre;
mod node;
mod operation;
mod period;
mod rate;
mod record;
mod service;
mod share;
mod size;
mod uptime;
mod version;
mod wall;

pub use address::Address;
pub use data_centre::DataCentre;
pub use node::Node;
pub use operation::Operation;
pub use period::{Period, millis};
pub use rate::Rate;
pub use service::Service;
pub use share::Share;
pub use size::Size;
pub use uptime::Uptime;
pub use version::Version;
pub use wall::Wall;

/// Text that is not a valid value of the wanted unit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not {expected}")]
pub struct Error {
    /// The refused text.
    pub text: compact_str::CompactString,
    /// What would have been right.
    pub expected: &'static str,
}

impl Error {
    /// Names the refused text and what would be right.
    #[must_use]
    pub fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.into(),
            expected,
        }
    }
}
