//! Load and experiment tool.

use std::process;

fn main() -> process::ExitCode {
    radishgap_load::cli::run()
}
