//! The path of a call: from the caller through the ingress and the owner to the backend server.

mod arrival;
mod attempt;
mod context;
mod counts;
mod dialect;
mod download;
mod envelope;
mod event;
mod headers;
mod ingress;
mod keyed;
mod native;
mod owner;
mod pools;
mod problem;
mod reason;
mod retry;
mod settings;
mod source;
mod status;
mod timer;

pub use attempt::Attempt;
pub use context::Context;
pub use counts::{Ingress as IngressCounts, Owner as OwnerCounts};
pub use dialect::{Asked, Dialect};
pub use download::{Download, Ended, Watch};
pub use envelope::{Envelope, Key};
pub use headers::Headers;
pub use ingress::Ingress;
pub use native::Native;
pub use owner::{Dump as OwnerDump, Owner, Served};
pub use problem::Problem;
pub use reason::Reason;
pub use retry::{Decision, Retry};
pub use settings::Settings;
pub use source::Source;
