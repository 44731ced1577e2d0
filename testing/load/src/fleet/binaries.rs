//! Where the programs are.

use std::env;
use std::io;
use std::path;

/// The folder that holds the programs.
#[derive(Debug, Clone)]
pub struct Binaries {
    folder: path::PathBuf,
}

impl Binaries {
    /// The folder of the running executable, or the one above for a test.
    ///
    /// # Errors
    /// The error of the operating system, or that the programs are not there.
    pub fn beside() -> io::Result<Self> {
        let own = env::current_exe()?;
        let mut folders = own.ancestors().skip(1).take(2);
        let found = folders.find(|folder| folder.join("radishgap-node").is_file());
        match found {
            Some(folder) => Ok(Self {
                folder: folder.to_owned(),
            }),
            None => Err(io::Error::new(
                io::ErrorKind::NotFound,
                "radishgap-node is not beside this program; run `cargo build --workspace --bins`",
            )),
        }
    }

    /// Path of the program `name`.
    #[must_use]
    pub fn program(&self, name: &str) -> path::PathBuf {
        self.folder.join(name)
    }
}
