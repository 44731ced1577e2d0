#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
