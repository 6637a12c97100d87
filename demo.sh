#!/usr/bin/env bash
# Builds everything and runs a small fleet on this machine: stand-ins of the platform, engines and
# booking service, and three entry hosts. Shows one streamed answer and one booking, then stays up
# until it is interrupted. With --once it ends after showing them.
set -euo pipefail
cd "$(dirname "$0")"

once=false
case "${1:-}" in
  "") ;;
  --once) once=true ;;
  *) echo "usage: ./demo.sh [--once]" >&2; exit 2 ;;
esac

readonly example=examples/sabarmati
readonly logs=target/demo-logs
readonly hosts=(ahm mhs rjk)
readonly server=127.0.0.1:7101
host_pids=()
standin_pid=""

# Entry hosts go first: their planned stop still needs the platform. Each is ended by its own id
# and waited for, so that no process is left when this script returns.
stop_all() {
  trap - EXIT INT TERM
  local pid
  for pid in "${host_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${host_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "$standin_pid" ]; then
    kill -TERM "$standin_pid" 2>/dev/null || true
    wait "$standin_pid" 2>/dev/null || true
  fi
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Runs a command until it succeeds; gives up after a minute, or when a process has ended.
until_done() {
  local what=$1 tries=0 pid
  shift
  until "$@" >/dev/null 2>&1; do
    for pid in "${host_pids[@]}" "$standin_pid"; do
      kill -0 "$pid" 2>/dev/null || { echo "$what: a process has ended, see $logs" >&2; exit 1; }
    done
    tries=$((tries + 1))
    [ "$tries" -lt 300 ] || { echo "$what: not reached, see $logs" >&2; exit 1; }
    sleep 0.2
  done
}

echo "Building ..."
mvn -B -ntp -q -DskipTests package
dist=$(echo cyclamenpaddle-dist/target/cyclamenpaddle-*/cyclamenpaddle-*)
mkdir -p "$logs"

echo "Starting stand-ins and ${#hosts[@]} entry hosts, logs in $logs ..."
cyclamenpaddle-demo/target/demo/bin/cyclamenpaddle-standins fleet \
  --file "$example/standins.json" >"$logs/standins.log" 2>&1 &
standin_pid=$!
until_done "stand-ins" grep -qx ready "$logs/standins.log"
for host in "${hosts[@]}"; do
  "$dist/bin/cyclamenpaddle" --settings "$example/entry-$host-1.toml" \
    >"$logs/entry-$host-1.log" 2>&1 &
  host_pids+=($!)
done
for port in 7101 7102 7103; do
  until_done "entry host on port $port" curl -fsS "http://127.0.0.1:$port/healthz"
done

ctl() {
  echo
  echo "\$ cyclamenctl $*"
  "$dist/bin/cyclamenctl" --server "$server" --server 127.0.0.1:7102 "$@"
}
ctl apply -f "$example/objects.toml"
ctl preset use ordinary --wait
for port in 7101 7102 7103; do
  until_done "readiness on port $port" curl -fsS "http://127.0.0.1:$port/readyz"
done

show() {
  local word
  echo
  printf '$'
  for word in "$@"; do
    case $word in
      *[!A-Za-z0-9_./:=-]*) printf " '%s'" "$word" ;;
      *) printf ' %s' "$word" ;;
    esac
  done
  echo
  "$@"
}
show curl -sSN "http://$server/v1/completions" -H 'Content-Type: application/json' \
  -H 'X-Team: ahmedabad-desk' \
  -d '{"model": "malt-reader", "prompt": "Quality sheet, lot 17: moisture 11.8, ...", "max_tokens": 8, "stream": true}' \
  | tee "$logs/answer.txt"
show curl -sS "http://$server/v1/services/spot-book/book" -H 'Content-Type: application/json' \
  -H 'Idempotency-Key: confirm-lot-17' -d '{"lot": "lot-17"}'
echo
ctl explain "$(grep -m 1 -o '"id":"[^"]*"' "$logs/answer.txt" | cut -d '"' -f 4)"
ctl status

if ! $once; then
  echo
  echo "Up on $server, 127.0.0.1:7102 and 127.0.0.1:7103. Interrupt to end."
  wait "${host_pids[@]}"
fi
