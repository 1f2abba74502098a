#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler alone: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/standin review/standin/main.rs
