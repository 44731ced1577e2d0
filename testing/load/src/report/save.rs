//! Writes a report.

use std::env;
use std::fs;
use std::path;
use std::process;

use serde::Serialize;

use super::Plot;

/// Where figures come from.
#[derive(Debug, Clone, Serialize)]
pub struct Origin {
    /// Command line.
    pub command: String,
    /// Seed.
    pub seed: u64,
    /// Commit of the sources in the current folder; `-dirty` is added when they differ from it.
    pub commit: String,
    /// Time of the start.
    pub time: String,
    /// Cores of the machine.
    pub cores: usize,
    /// Load of the machine over the last minute before the start.
    pub load: String,
}

/// Figures with their origin.
#[derive(Debug, Clone, Serialize)]
pub struct Report<T> {
    /// Where they come from.
    pub origin: Origin,
    /// The figures.
    pub figures: T,
}

/// Why a report cannot be written.
#[derive(Debug, thiserror::Error)]
#[error("the report cannot be written to {folder}: {problem}")]
pub struct Error {
    folder: String,
    problem: String,
}

impl Origin {
    /// The origin of figures that this process made with `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let arguments: Vec<_> = env::args().skip(1).collect();
        let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        Self {
            command: format!("radishgap-load {}", arguments.join(" ")),
            seed,
            commit: commit(),
            time: units::Wall::now().to_string(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            load: load.split(' ').next().unwrap_or_default().to_owned(),
        }
    }
}

/// The commit of the sources; `unknown` outside of a repository.
fn commit() -> String {
    let described = process::Command::new("git")
        .args(["describe", "--always", "--dirty", "--abbrev=10"])
        .output();
    match described {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_owned()
        }
        _ => "unknown".to_owned(),
    }
}

impl<T: Serialize> Report<T> {
    /// Writes `NAME.json` and the plots, each under its file name, into `folder`.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn save(
        &self,
        folder: &path::Path,
        name: &str,
        plots: &[(&str, Plot)],
    ) -> Result<(), Error> {
        let failed = |problem: String| Error {
            folder: folder.display().to_string(),
            problem,
        };
        fs::create_dir_all(folder).map_err(|error| failed(error.to_string()))?;
        let text = serde_json::to_vec_pretty(self).map_err(|error| failed(error.to_string()))?;
        let file = folder.join(format!("{name}.json"));
        fs::write(file, text).map_err(|error| failed(error.to_string()))?;
        for (name, plot) in plots {
            let file = folder.join(format!("{name}.svg"));
            plot.draw(&file)
                .map_err(|error| failed(error.to_string()))?;
        }
        Ok(())
    }
}
