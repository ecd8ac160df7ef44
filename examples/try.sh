#!/bin/bash
# Runs one job through the daemon on a fresh Debian machine: installs missing packages, builds the programs, starts the
# toy platform and the daemon on free loopback ports, sends the job, and stops both. With ALDERSILL_BUILD=DIR it uses
# the programs built in DIR, and installs and builds nothing.
set -euo pipefail
cd "$(dirname "$0")/.."

fail() {
  echo "try.sh: FAILED: $*" >&2
  exit 1
}

build=${ALDERSILL_BUILD:-}
if [[ -z $build ]]; then
  # The README has the same list.
  missing=()
  for package in g++ cmake make pkg-config libevent-dev libhttp-parser-dev nlohmann-json3-dev libsnmp-dev \
    libwrap0-dev libyaml-cpp-dev libcli11-dev libspdlog-dev libsodium-dev libxxhash-dev libmsgpack-cxx-dev \
    libpcg-cpp-dev; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  if ((${#missing[@]})); then
    echo "== installing ${missing[*]}"
    root=()
    [[ $(id -u) == 0 ]] || root=(sudo)
    "${root[@]}" apt-get update -q || fail "apt-get update"
    "${root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}" ||
      fail "cannot install ${missing[*]}"
  fi
  build=build
  echo "== building in $build (some minutes)"
  cmake -B "$build" -DCMAKE_BUILD_TYPE=Release >/dev/null || fail "cmake cannot configure"
  cmake --build "$build" -j"$(nproc)" --target aldersill toy_platform rehearse snmp_check >/dev/null ||
    fail "the build"
fi
for program in aldersill toy_platform rehearse snmp_check; do
  [[ -x $build/$program ]] || fail "$build/$program is not there"
done

folder=$(mktemp -d)
platform= daemon=
stop() {
  local pid
  for pid in $daemon $platform; do
    kill "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$folder"
}
trap stop EXIT
trap 'exit 130' INT TERM

# await PID FILE PATTERN: prints the first line of a program's output that matches; fails if the
# process PID ends before that.
await() {
  local line
  while ! line=$(grep -m1 -E "$3" "$2"); do
    if ! kill -0 "$1" 2>/dev/null; then
      cat "$2" >&2
      return 1
    fi
    sleep 0.05
  done
  echo "$line"
}

echo "== the toy platform: discovery and two workers"
"$build/toy_platform" 0 >"$folder/platform.log" 2>&1 &
platform=$!
line=$(await $platform "$folder/platform.log" '^discovery on ') || fail "the toy platform does not start"
echo "$line"
discovery=${line##* }

echo "== the daemon"
cat >"$folder/aldersill.yaml" <<'YAML'
snmp: {enabled: true, listen: "127.0.0.1:0"}
logging: {level: debug, burst: 1000}
YAML
GW_CONFIG=examples/config.json GW_LISTEN=127.0.0.1:0 GW_DISCOVERY=$discovery \
  ALDERSILL_SETTINGS=$folder/aldersill.yaml "$build/aldersill" 2>"$folder/daemon.log" &
daemon=$!
await $daemon "$folder/daemon.log" ' serving ' || fail "the daemon does not start"
# port NAME: prints the port of the daemon's listener of that name.
port() {
  local line
  line=$(grep -m1 "listening name=$1 " "$folder/daemon.log") || fail "the daemon has no listener $1"
  echo "${line##*:}"
}
http=$(port http) snmp=$(port snmp)
# A job that arrives before discovery's list is rejected, with Retry-After.
await $daemon "$folder/daemon.log" ' endpoint_list_entry .*state=ready' || fail "discovery lists no worker"

echo "== a job: the bytes of examples/first_job.txt to 127.0.0.1:$http, and the answer as they record it"
"$build/rehearse" examples/first_job.txt "http=$http" || fail "the job is not answered as recorded"
sed -n '/^expect/,$s/^|-\{0,1\} \{0,1\}/  /p' examples/first_job.txt
grep -E ' (request_received|attempt_started|attempt_ended|request_answered) ' "$folder/daemon.log" || true

echo "== the daemon's counters, over SNMP (mibs/ALDERSILL-MIB.txt): requests taken and served of the class"
counted=$("$build/snmp_check" "$snmp") || fail "the SNMP agent does not answer"
mib=1.3.6.1.4.1.8072.9999.9999.7419
for row in "2.1.2.1 class" "2.1.3.1 taken" "2.1.4.1 served"; do
  read -r id name <<<"$row"
  value=$(grep -F "$mib.$id = " <<<"$counted") || fail "the agent does not show $mib.$id"
  echo "$name: ${value##* = }"
  [[ $name == class || ${value##* = } == 1 ]] || fail "one job was played, and $name is ${value##* = }"
done

echo "== SIGTERM: it finishes its requests and ends with 0"
kill -TERM $daemon
wait $daemon || fail "the daemon ended with $?"
daemon=
tail -n1 "$folder/daemon.log"
echo "try.sh: all of it works"
