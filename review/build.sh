#!/bin/bash
# Builds the stand-ins of the scripts: the project's store, and the replica and the drivers in standin/ (standard library
# only).
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p harrierward-platform-standin
mkdir -p target/review
for name in replica case1 case2 case3; do
    rustc --edition 2024 -O -o "target/review/$name" "review/standin/$name.rs"
done
