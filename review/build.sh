#!/bin/bash
# Builds the stand-ins of the scripts under review/ into target/review; the
# entry program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target/review -j4
