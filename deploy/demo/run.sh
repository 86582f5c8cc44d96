#!/usr/bin/env bash
# Starts the processes of the demonstration, replays the trace, and stops the processes. Run it from any
# directory after "make build"; "make demo" does both.
set -euo pipefail
cd "$(dirname "$0")/../.."

run_dir=run/demo
config_dir=deploy/demo
groups=(server agent entry store)
declare -A pids

# stop terminates the started processes by their process IDs, group by group: backend servers first,
# the store last. It waits for each group before it signals the next, because a process needs the
# next group for its graceful stop. It exits with the status of the script.
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
    echo "demo: failed; logs are in $run_dir" >&2
  fi
  exit "$status"
}

# start NAME COMMAND... runs a process in the background, with its log and its process ID in files under
# $run_dir. The part of the name before the first "-" is its group.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 &
  pids[${name%%-*}]+=" $!"
  echo $! >"$run_dir/$name.pid"
}

# server NAME NUMBER SPEED starts the sample backend server NAME. NUMBER is the last digit of its port
# and of the local port of its agent.
server() {
  start "server-$1" bin/sampleserver -name "demo-server-$1" -service ice-forms \
    -kinds wall-thickness-check,freeze-time-simulation,release-angle-verification \
    -slots 8 -connections 64 -listen "127.0.0.1:1730$2" -agent "127.0.0.1:1723$2" -speed "$3"
}

rm -rf "$run_dir"
mkdir -p "$run_dir"
trap stop EXIT INT TERM
bin/poplargw cert --out "$run_dir/tls" --ip 127.0.0.1

start store bin/standinstore -listen 127.0.0.1:17400
for n in 1 2; do
  bin/poplargwd check "$config_dir/entry-$n.toml"
  start "entry-$n" bin/poplargwd run "$config_dir/entry-$n.toml"
done
for n in a b c; do
  bin/poplargwd check "$config_dir/agent-$n.toml"
  start "agent-$n" bin/poplargwd run "$config_dir/agent-$n.toml"
done
# The backend servers differ in speed.
server a 1 1.0
server b 2 1.5
server c 3 0.7

operators=127.0.0.1:17121,127.0.0.1:17122
bin/demo wait http://127.0.0.1:17121/healthz http://127.0.0.1:17122/healthz
bin/poplargw apply --entry 127.0.0.1:17121 --author demo "$config_dir/declarations"
bin/demo wait -operators "$operators" -servers 3 \
  http://127.0.0.1:1712{1,2}/readyz http://127.0.0.1:1722{1,2,3}/readyz
bin/demo replay -trace "$config_dir/trace.jsonl" -service ice-forms -domain demo-b -speed 1.5 \
  -entries 127.0.0.1:17101,127.0.0.1:17102 -operators "$operators"
