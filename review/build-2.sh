#!/bin/sh
# Builds the stand-ins of the second review with the compiler alone, into target/review-2. Run it in the repository root,
# after the build of deploy/system.toml.
set -eu
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/harness-2/main.rs
