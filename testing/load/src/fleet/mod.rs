//! Real processes of a mesh on loopback: start, stop, kill, freeze, and wait for readiness.

mod addresses;
mod binaries;
mod console;
mod folder;
mod mesh;
mod process;
mod settings;
mod shape;
mod usage;

pub use addresses::{Addresses, Ports};
pub use binaries::Binaries;
pub use console::{Console, Printed};
pub use folder::Folder;
pub use mesh::Mesh;
pub use process::{Process, Signal};
pub use settings::{Node, Platform};
pub use shape::{Shape, Site};
pub use usage::Usage;

/// Why the processes cannot do what is asked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or a process could not be handled.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A condition did not come about in time.
    #[error("{what} did not come about within {limit}")]
    Late {
        /// What was waited for.
        what: String,
        /// How long.
        limit: units::Period,
    },
    /// A process ended when it should run.
    #[error("{name} ended by itself ({status}); its log ends with:\n{log}")]
    Ended {
        /// Name of the process.
        name: String,
        /// How it ended.
        status: String,
        /// Its last log lines.
        log: String,
    },
}

impl Error {
    /// Names what was tried when the operating system refused.
    pub fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |error| Self::System { what, error }
    }
}
