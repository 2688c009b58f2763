#!/bin/sh
# Builds the stand-in that the cases start. Needs no network: it has no dependencies.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
