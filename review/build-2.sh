#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with the compiler alone: they use no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2021 -O --crate-name "$name" -o "target/review-2/$name" "$source"
done
