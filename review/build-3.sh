#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 and later, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
