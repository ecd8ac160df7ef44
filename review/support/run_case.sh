#!/bin/bash
# run_case.sh N: runs the case of the folder review/N. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
number=$1
cd "$(dirname "$0")/../.." || exit 2
program=review/build/case$number
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [[ ! -x $program || ! -x build/aldersill || -z $RUN_COMMAND ]]; then
  echo "build first: the command 'build' of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
CASE_FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_FOLDER"' EXIT
export RUN_COMMAND CASE_FOLDER RECORD=review/$number/record.txt TROUBLE=${TROUBLE:-1}
export GW_CONFIG=examples/config.json GW_LISTEN=127.0.0.1:0
unset GW_NAME GW_MGMT GW_DISCOVERY ALDERSILL_SETTINGS
"$program"
status=$?
if [[ -n ${KEEP_LOGS:-} ]]; then
  cp "$CASE_FOLDER"/*.log "$KEEP_LOGS"/
fi
((status <= 2)) || status=2
exit "$status"
