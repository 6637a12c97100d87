#!/usr/bin/env bash
# Measures placement policies on real entry hosts before stand-in engines, all on this machine.
#
# usage: ./experiment.sh OUT [DEPLOYMENT [POLICIES [LOADS [SEEDS [SECONDS [HOSTS [BASE_PORT]]]]]]]
# Lists are separated by blanks. EXTRA holds further options of the load tool, such as
# "--kill-runner-every 4000". Needs a built tree (mvn package). Prints one table at the end.
set -euo pipefail
cd "$(dirname "$0")"

readonly out=${1:?directory for the results}
readonly deployment=${2:-sabarmati}
readonly policies=${3:-ROUND_ROBIN LEAST_REPORTED_LOAD TWO_RANDOM_CHOICES TIMED_GRANTS}
readonly loads=${4:-0.7 0.9 1.0 1.2 1.5}
readonly seeds=${5:-1 2 3}
readonly seconds=${6:-20}
readonly hosts=${7:-6}
readonly base=${8:-20000}
readonly standins=cyclamenpaddle-demo/target/demo/bin/cyclamenpaddle-standins
readonly router=$(echo cyclamenpaddle-dist/target/cyclamenpaddle-*/cyclamenpaddle-*/bin/cyclamenpaddle)
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap stop_all EXIT

until_done() {
  local tries=0
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    [ "$tries" -lt 300 ] || { echo "not reached: $*" >&2; exit 1; }
    sleep 0.2
  done
}

for policy in $policies; do
  files=$out/files-$policy
  mkdir -p "$files"
  "$standins" deployment --deployment "$deployment" --speed 1 --base-port "$base" \
    --entry-hosts "$hosts" --policy "$policy" --out "$files"
  "$standins" fleet --file "$files/fleet.json" >"$files/standins.log" 2>&1 &
  pids+=($!)
  until_done grep -qx ready "$files/standins.log"
  entries=""
  for number in $(seq 1 "$hosts"); do
    JAVA_OPTS="${ROUTER_JAVA_OPTS:-}" "$router" --settings "$files/entry-$number.toml" \
      >"$files/entry-$number.log" 2>&1 &
    pids+=($!)
    entries="$entries,127.0.0.1:$((base + 99 + number))"
  done
  until_done curl -fsS "http://127.0.0.1:$((base + 100))/healthz"
  "$standins" declare --entry "127.0.0.1:$((base + 100))" --file "$files/objects.json"
  for number in $(seq 1 "$hosts"); do
    until_done curl -fsS "http://127.0.0.1:$((base + 99 + number))/readyz"
  done
  sleep 3
  engines=$(grep -A 100000 '"engines"' "$files/fleet.json" | grep '"port"' \
    | tr -cd '0-9\n' | sed 's/^/127.0.0.1:/' | paste -sd,)
  # The first run warms the processes up and is not kept.
  "$standins" load --deployment "$deployment" --entry "${entries#,}" --engines "$engines" \
    --load 0.7 --seconds 8 --seed 99 --policy "$policy" --out "$files/warm-up" >/dev/null
  for load in $loads; do
    for seed in $seeds; do
      # shellcheck disable=SC2086
      "$standins" load --deployment "$deployment" --entry "${entries#,}" --engines "$engines" \
        --load "$load" --seconds "$seconds" --seed "$seed" --policy "$policy" \
        --out "$out/runs" ${EXTRA:-} | tail -n +1 >>"$out/$policy.log"
      sleep 1
    done
  done
  stop_all
done
"$standins" report "$out/runs" | tee "$out/table.txt"
