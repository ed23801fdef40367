#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-driver review/standins/main.rs
