#!/bin/sh
# Builds the stand-ins of the cases from 6 on with the compiler alone: they use only the standard library. The daemon
# is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/standins
