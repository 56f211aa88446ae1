#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml
