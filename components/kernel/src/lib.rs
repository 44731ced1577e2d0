//! Micro-kernel of a process: services that find each other by name and stop in order.
//!
//! A service offers a cloneable handle (a mailbox or shared state) under its name before any
//! service runs; others look it up by that name at start-up and keep the typed handle, so that no
//! lookup and no dynamic dispatch happens on the request path.

mod error;
mod mailbox;
mod registry;
mod stop;
mod system;

pub use error::Error;
pub use mailbox::{Inbox, Mailbox, mailbox};
pub use registry::Registry;
pub use stop::{Stop, Trigger, stop};
pub use system::{Kernel, Service};
