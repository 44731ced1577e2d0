//! Command line for operators, over the operator API of any node.

pub mod cli;
mod client;
mod cmd;
pub mod console;
pub mod document;
mod exit;
mod failure;
pub mod story;
pub mod view;

pub use client::Client;
pub use exit::Exit;
pub use failure::Failure;

use std::process;

/// Runs the command that the process was called with.
#[must_use]
pub fn run() -> process::ExitCode {
    let matches = match cli::command().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            // Help and version are no errors; they go to the standard output.
            let _ = error.print();
            let exit = if error.use_stderr() {
                Exit::Usage
            } else {
                Exit::Done
            };
            return exit.into();
        }
    };
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            console::error(&format!("cannot start the runtime: {error}"));
            return Exit::Failed.into();
        }
    };
    match runtime.block_on(cmd::run(&matches)) {
        Ok(exit) => exit.into(),
        Err(report) => {
            console::error(&report.current_context().to_string());
            report.current_context().exit().into()
        }
    }
}
