#!/usr/bin/env bash
# Starts the processes of the demonstration, replays the trace, and ends the processes by their ids.
# Run it from anywhere after "make build"; "make demo" does both.
set -euo pipefail
cd "$(dirname "$0")/../.."

run=run/demo
files=deploy/demo
groups=(server agent entry store)
declare -A pids

# stop ends the processes by their ids: backend servers first, the store last. Each group ends
# before the next is told to, because it needs the next one for a graceful stop.
stop() {
  local status=$? group pid
  trap - EXIT INT TERM
  for group in "${groups[@]}"; do
    for pid in ${pids[$group]:-}; do
      kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in ${pids[$group]:-}; do
      wait "$pid" || echo "demo: a process of group $group ended with status $?" >&2
    done
  done
  if [ "$status" -ne 0 ]; then
    echo "demo: failed; logs are in $run" >&2
  fi
  exit "$status"
}

# start NAME COMMAND... runs a process in the background with its log and pid under $run.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[${name%%-*}]+=" $!"
  echo $! >"$run/$name.pid"
}

server() {
  start "server-$1" bin/sampleserver -name "demo-server-$1" -service ice-forms \
    -kinds wall-thickness-check,freeze-time-simulation,release-angle-verification \
    -slots 8 -connections 64 -listen "127.0.0.1:1730$2" -agent "127.0.0.1:1723$2" -speed "$3"
}

rm -rf "$run"
mkdir -p "$run"
trap stop EXIT INT TERM
bin/poplargw cert --out "$run/tls" --ip 127.0.0.1

start store bin/standinstore -listen 127.0.0.1:17400
for n in 1 2; do
  bin/poplargwd check "$files/entry-$n.toml"
  start "entry-$n" bin/poplargwd run "$files/entry-$n.toml"
done
for n in a b c; do
  bin/poplargwd check "$files/agent-$n.toml"
  start "agent-$n" bin/poplargwd run "$files/agent-$n.toml"
done
# The servers differ in speed.
server a 1 1.0
server b 2 1.5
server c 3 0.7

operators=127.0.0.1:17121,127.0.0.1:17122
bin/demo wait http://127.0.0.1:17121/healthz http://127.0.0.1:17122/healthz
bin/poplargw apply --entry 127.0.0.1:17121 --author demo "$files/declarations"
bin/demo wait -operators "$operators" -servers 3 \
  http://127.0.0.1:1712{1,2}/readyz http://127.0.0.1:1722{1,2,3}/readyz
bin/demo replay -trace "$files/trace.jsonl" -service ice-forms -domain demo-b -speed 1.5 \
  -entries 127.0.0.1:17101,127.0.0.1:17102 -operators "$operators"
