#!/bin/sh
# Builds the stand-ins and checks of the cases of the second review, without the network
# where the crates are at hand.
set -e
cd "$(dirname "$0")/.."
manifest="--release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2"
cargo build --offline $manifest || cargo build $manifest
