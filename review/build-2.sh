#!/bin/bash
# Builds the programs of the cases 6 to 10 into build/review-2, after the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for folder in 6 7 8 9 10; do
  if [[ -f review/$folder/case.cpp ]]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case-$folder" "review/$folder/case.cpp"
  fi
done
