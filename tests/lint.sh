#!/bin/bash
# Checks the form of all C++ sources with clang-format, then src/, include/ and tools/ with clang-tidy; any finding fails.
# JOBS is how many clang-tidy processes run at once, one for each processor by default.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z -- '*.cpp' '*.h' | xargs -0 clang-format --dry-run -Werror
echo "clang-format: all sources in its form"

build=build-lint
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
# A header is checked with each source that includes it, so src/ and tools/ cover include/ as well.
git ls-files -z -- 'src/*.cpp' 'tools/*.cpp' |
  xargs -0 -n1 -P "${JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2)
echo "clang-tidy: no findings"
