//! Temporary folder of a run.

use std::env;
use std::fs;
use std::io;
use std::path;

use rand::Rng;

/// A folder that is removed when dropped, unless it is kept.
#[derive(Debug)]
pub struct Folder {
    path: path::PathBuf,
    kept: bool,
}

impl Folder {
    /// Creates a folder of its own below the system's temporary folder.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn create() -> io::Result<Self> {
        let name = format!("radishgap-{:08x}", rand::rng().random::<u32>());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self { path, kept: false })
    }

    /// The folder.
    #[must_use]
    pub fn path(&self) -> &path::Path {
        &self.path
    }

    /// Keeps the folder, such as for its logs after a failure.
    pub fn keep(&mut self) {
        self.kept = true;
    }

    /// Writes `value` as JSON into the file `name` and gives its path.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn write<T: serde::Serialize>(&self, name: &str, value: &T) -> io::Result<path::PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, serde_json::to_vec_pretty(value)?)?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.kept {
            // A leftover in the temporary folder does no harm.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
