#!/bin/bash
# Builds the stand-ins of the second review, after the build of the deploy file. Run it anywhere.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/standins-2
