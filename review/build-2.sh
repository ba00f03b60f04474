#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
