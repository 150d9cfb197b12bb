#!/bin/sh
# Builds the stand-ins and clients of all cases, next to the product's program.
cd "$(dirname "$0")/.." || exit 2
build() {
    cargo build --release --locked "$@" --manifest-path review/Cargo.toml --target-dir target
}
# The crates are those of the product, and are there already after its build.
build --offline || build
