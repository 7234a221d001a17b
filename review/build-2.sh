#!/bin/bash
# Builds the program that plays the scripted cases, with the packages of the
# deploy file, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-2 -j "${JOBS:-6}"
