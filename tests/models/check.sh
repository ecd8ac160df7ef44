#!/bin/bash
# Verifies a model with spin, lease.pml or the one that MODEL names (MODEL=budgets): the model must hold, and spin must
# find an error in each of its broken variants. Usage: check.sh [more options for spin, such as -DBALLOTS=4]
set -euo pipefail
model=$(cd "$(dirname "$0")" && pwd)/${MODEL:-lease}.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# Runs spin with the given options and prints the number of errors and of stored states. An incomplete search counts as
# one error.
verify() {
  rm -f pan*
  spin "$@" -a "$model" >spin.log 2>&1 || { cat spin.log >&2; exit 2; }
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c 2>gcc.log || { cat gcc.log >&2; exit 2; }
  ./pan -m100000 >pan.log 2>&1
  grep -q 'Search not completed' pan.log && errors=1 || errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
  echo "$errors errors, $(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log) states"
}

found=$(verify "$@")
echo "${MODEL:-lease}: $found"
[[ $found == "0 errors,"* ]] || { cat pan.log; exit 1; }
for broken in $(sed -n 's/^#\(ifdef\|ifndef\) \(BROKEN_[A-Z]*\)$/\2/p' "$model" | sort -u); do
  found=$(verify "$@" -D$broken)
  echo "$broken: $found"
  [[ $found != "0 errors,"* ]] || { echo "spin found no error in the variant $broken"; exit 1; }
done
