#!/bin/bash
# Builds and runs all tests twice: in release mode, and with the address and undefined-behaviour sanitizers.
# Uses ccache if it is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
launcher=()
if command -v ccache >/dev/null; then
  launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
  export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
fi
for mode in release sanitize; do
  sanitize=OFF
  [[ $mode == sanitize ]] && sanitize=ON
  cmake -S . -B "build-$mode" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DALDERSILL_TESTS=ON -DALDERSILL_SANITIZE=$sanitize \
    -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O2 -g1 -DNDEBUG" \
    "${launcher[@]}"
  cmake --build "build-$mode" -j"$(nproc)"
done
bash tests/known_red/run_ctest.sh KNOWN-RED.txt build-release build-sanitize
