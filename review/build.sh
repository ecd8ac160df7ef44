#!/bin/bash
# Builds the cases and their stand-ins into review/build, after the build of deploy/balancer.toml. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/build
mkdir -p review/build
flags=(-std=c++20 -O1 -Wall -Wextra -Itools -Ireview/support -pthread)
compilers=()
for source in tools/loopback.cpp tools/stand_ins.cpp review/support/harness.cpp review/[0-9]*/case.cpp; do
  name=$(echo "$source" | tr / _)
  "${CXX:-g++}" "${flags[@]}" -c "$source" -o "review/build/${name%.cpp}.o" &
  compilers+=($!)
done
for compiler in "${compilers[@]}"; do
  wait "$compiler"
done
common=(review/build/tools_loopback.o review/build/tools_stand_ins.o review/build/review_support_harness.o)
for folder in review/[0-9]*/; do
  number=$(basename "$folder")
  "${CXX:-g++}" "review/build/review_${number}_case.o" "${common[@]}" -pthread -o "review/build/case$number"
done
