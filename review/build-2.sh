#!/bin/sh
# Builds what the cases of the second review start beside the project's own programs: their stand-in of the
# platform. It needs no network, and the build of deploy/balancer.toml before it.
set -e
cd "$(dirname "$0")/platform-2"
CARGO_TARGET_DIR=../../target/review-2 exec cargo build --release --locked --offline
