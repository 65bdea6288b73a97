#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts (cases 6 and up). Needs rustc alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/world-2 review/world_2.rs
