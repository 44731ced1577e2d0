//! Runs the operators' command line.

use std::path;
use std::process;

use super::Error;

/// The operators' command line towards one node.
#[derive(Debug, Clone)]
pub struct Console {
    program: path::PathBuf,
    node: units::Address,
    token: String,
}

/// What a command printed, and its exit code.
#[derive(Debug, Clone)]
pub struct Printed {
    /// Exit code; -1 when a signal ended it.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

impl Console {
    /// Drives the node whose operator address is `node`.
    #[must_use]
    pub fn new(program: path::PathBuf, node: units::Address, token: &str) -> Self {
        Self {
            program,
            node,
            token: token.to_owned(),
        }
    }

    /// Runs one command and waits for its end.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn run(&self, arguments: &[&str]) -> Result<Printed, Error> {
        let output = process::Command::new(&self.program)
            .env("RADISHGAP_OPERATOR_TOKEN", &self.token)
            .arg("--node")
            .arg(self.node.to_string())
            .args(arguments)
            .stdin(process::Stdio::null())
            .output()
            .map_err(Error::system("cannot run radishgapctl"))?;
        Ok(Printed {
            code: output.status.code().unwrap_or(-1),
            output: String::from_utf8_lossy(&output.stdout).into_owned(),
            errors: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }
}
