#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-3 -B target/review-3 -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review-3 -j6
