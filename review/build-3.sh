#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; run in the repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/standins-3/main.rs
