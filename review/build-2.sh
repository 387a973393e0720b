#!/bin/sh
# Builds the stand-ins of the cases 4 to 6 into target/review-2. They use the standard library alone, and none of the
# project's stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/case_*.rs; do
    rustc --edition 2021 -O -o "target/review-2/$(basename "$source" .rs)" "$source"
done
