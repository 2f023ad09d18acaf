#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, with the standard library alone. The project itself is
# built with the command of deploy/system.toml before.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/stand-3/main.rs
