//! Process beside each backend server.

use std::process;

use node::assembly;
use node::settings::Settings;

const ABOUT: &str = "Process beside each backend server: proxy, membership, distribution, moves";

fn main() -> process::ExitCode {
    match program::load::<Settings>(program::command("radishgap-node", ABOUT)) {
        Ok(settings) => program::run(assembly::run(settings)),
        Err(code) => code,
    }
}
