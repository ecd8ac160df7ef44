#!/bin/bash
# Builds and runs all tests twice: as released, and under the address and undefined-behaviour sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
for mode in release sanitize; do
  sanitize=OFF
  [[ $mode == sanitize ]] && sanitize=ON
  cmake -S . -B "build-$mode" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DALDERSILL_TESTS=ON -DALDERSILL_SANITIZE=$sanitize
  cmake --build "build-$mode" -j"$(nproc)"
done
bash tests/known_red/run_ctest.sh KNOWN-RED.txt build-release build-sanitize
