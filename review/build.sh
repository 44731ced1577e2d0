#!/bin/sh
# Builds the stand-ins of the review's scripts: the standard library only, no network.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --manifest-path review/stand/Cargo.toml
