#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -C opt-level=2 -o target/review/stand review/main.rs
