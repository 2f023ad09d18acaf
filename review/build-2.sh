#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the toolchain alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/stand review/stand/main.rs
