#!/bin/bash
# run_case.sh N: runs case N, which writes its record to $RECORD. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. TROUBLE=0 leaves the disruption out. Nothing that it started is left, also if it is ended.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=review/build/case$1
: >"$RECORD" || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [[ ! -x $program || ! -x build/aldersill || -z $RUN_COMMAND ]]; then
  echo "build first: the command 'build' of deploy/balancer.toml, then review/build.sh" | tee "$RECORD" >&2
  exit 2
fi
CASE_FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_FOLDER"' EXIT
export RUN_COMMAND CASE_FOLDER RECORD TROUBLE=${TROUBLE:-1}
export GW_CONFIG=examples/config.json GW_LISTEN=127.0.0.1:0
unset GW_NAME GW_MGMT GW_DISCOVERY ALDERSILL_SETTINGS
"$program" &
case_process=$!
trap 'kill -KILL "$case_process"; wait "$case_process"; exit 2' INT TERM HUP
wait "$case_process"
status=$?
if [[ -n ${KEEP_LOGS:-} ]]; then
  cp "$CASE_FOLDER"/*.log "$KEEP_LOGS"/
fi
((status <= 2)) || status=2
exit "$status"
