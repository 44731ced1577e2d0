//! Command line for operators.

use std::process;

fn main() -> process::ExitCode {
    radishgapctl::run()
}
