#!/bin/sh
# Builds the program that the scripts of cases 6 to 10 start: stand-ins of clients, servers and the
# operator, in one file, with the standard library only. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/case review/standins-2/main.rs
