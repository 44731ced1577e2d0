//! Regenerates the Rust code of the protobuf schema, without `protoc`.

use std::path;
use std::process;

use clap::{Arg, Command, value_parser};

const PROTO_FILES: [&str; 10] = [
    "admission.proto",
    "announce.proto",
    "config.proto",
    "distribution.proto",
    "membership.proto",
    "moves.proto",
    "operator.proto",
    "peer.proto",
    "quota.proto",
    "relay.proto",
];

fn main() -> process::ExitCode {
    let matches = Command::new("generate")
        .about("Regenerates the Rust code of the protobuf schema")
        .arg(
            Arg::new("schema")
                .help("Folder of the schema crate")
                .default_value("components/schema")
                .value_parser(value_parser!(path::PathBuf)),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .help("Folder for the generated code; default is src/generated of the crate")
                .value_parser(value_parser!(path::PathBuf)),
        )
        .get_matches();
    let schema = matches
        .get_one::<path::PathBuf>("schema")
        .cloned()
        .unwrap_or_default();
    let out = matches
        .get_one::<path::PathBuf>("out")
        .cloned()
        .unwrap_or_else(|| schema.join("src/generated"));
    match generate(&schema.join("proto"), &out) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("generate: {error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Compiles every schema file below `proto` into `out`.
fn generate(proto: &path::Path, out: &path::Path) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(out)?;
    let files = protox::compile(PROTO_FILES, [proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
