#!/bin/bash
# Checks the format of all C++ sources with clang-format, then src/, include/ and tools/ with clang-tidy. Any finding
# fails the script. JOBS is the number of concurrent clang-tidy processes; the default is one per processor.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z -- '*.cpp' '*.h' | xargs -0 clang-format --dry-run -Werror
echo "clang-format: no findings"

build=build-lint
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
# clang-tidy checks a header with each source that includes it, so src/ and tools/ also cover include/.
git ls-files -z -- 'src/*.cpp' 'tools/*.cpp' |
  xargs -0 -n1 -P "${JOBS:-$(nproc)}" clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2)
echo "clang-tidy: no findings"
