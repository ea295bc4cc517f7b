#!/usr/bin/env bash
# Runs a small site of both deployments on loopback: the log stand-in, 11 worker stand-ins with their
# agents, and two entries. Creates the classes, sends work of every class, kills an entry and an agent in
# the middle and prints what came of it. Exits 0 only if the promises held.
#
# EBONYPIN_DEMO_PORT    first port to use; the next free block of 100 is taken (default 18000)
# EBONYPIN_DEMO_SECONDS how long to send (default 12)
# EBONYPIN_DEMO_SEED    seed of the traffic (default 1)
# EBONYPIN_DEMO_KEEP    folder for settings and logs, which then stay (default: a temporary one)
set -euo pipefail
cd "$(dirname "$0")/.."

readonly BUILD="${1:-build}"
readonly SECONDS_TO_SEND="${EBONYPIN_DEMO_SECONDS:-12}"
readonly WORKERS=11
readonly WORKERS_PER_DOMAIN=3
readonly START_TIMEOUT_S=20

if [[ -n "${EBONYPIN_DEMO_KEEP:-}" ]]; then
  work="$EBONYPIN_DEMO_KEEP"
  mkdir -p "$work"
else
  work=$(mktemp -d)
fi
declare -A pids=()

cleanup() {
  local status=$?
  trap - EXIT INT TERM
  for name in "${!pids[@]}"; do kill -9 "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if ((status != 0)) && [[ -z "${EBONYPIN_DEMO_KEEP:-}" ]]; then
    for log in "$work"/*.log; do
      grep -H -E '\[(warn|warning|error)\]|^error:' "$log" 2>/dev/null | tail -n 3 | sed "s|$work/||" >&2 || true
    done
    echo "demo: failed; run it again with EBONYPIN_DEMO_KEEP=FOLDER to keep settings and logs" >&2
  fi
  [[ -n "${EBONYPIN_DEMO_KEEP:-}" ]] || rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

say() { echo "demo: $*"; }

# True when nothing listens on the port.
is_free() { ! (exec 3<> "/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Prints the first block of 100 ports, from the port given, of which all that the demo needs are free.
free_base() {
  local base=$1 offset
  for _ in $(seq 20); do
    local free=1
    for offset in 0 1 2 11 12 $(seq 21 $((20 + WORKERS))) $(seq 41 $((40 + WORKERS))); do
      is_free $((base + offset)) || { free=0; break; }
    done
    if ((free)); then echo "$base"; return; fi
    base=$((base + 100))
  done
  echo "error: no free block of ports from $1; set EBONYPIN_DEMO_PORT" >&2
  return 1
}

# start NAME COMMAND...: runs a process in the background with its output in NAME.log.
start() {
  local name=$1
  shift
  "$@" >> "$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# kill_hard NAME: ends a process without giving it time to finish.
kill_hard() {
  kill -9 "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

# wait_for DESCRIPTION COMMAND...: repeats the command until it succeeds.
wait_for() {
  local what=$1 until=$((SECONDS + START_TIMEOUT_S))
  shift
  until "$@" > /dev/null 2>&1; do
    if ((SECONDS >= until)); then
      echo "error: $what did not happen within $START_TIMEOUT_S s" >&2
      return 1
    fi
    sleep 0.1
  done
}

ctl() { "$BUILD/bin/ebonypinctl" --entry="$entries" --operator=demo "$@"; }

all_instances_ready() {
  local ready
  ready=$(ctl instances | grep -c ' ready ') || true
  [[ "$ready" == "$WORKERS" ]]
}

write_agent() {
  cat > "$work/agent-$1.ini" << INI
[process]
role = agent
id = worker-$1
domain = rack-$(((($1 - 1) / WORKERS_PER_DOMAIN) + 1))
rpc = 127.0.0.1:$((base + 40 + $1))
seeds = 127.0.0.1:$((base + 11)), 127.0.0.1:$((base + 12))
[worker]
url = http://127.0.0.1:$((base + 20 + $1))
cpu_millis = 16000
memory = 60GB
INI
}

write_entry() {
  cat > "$work/entry-$1.ini" << INI
[process]
role = entry
id = entry-$1
domain = rack-$1
rpc = 127.0.0.1:$((base + 10 + $1))
http = 127.0.0.1:$((base + $1))
seeds = 127.0.0.1:$((base + 13 - $1))
[log]
url = http://127.0.0.1:$base
INI
}

base=$(free_base "${EBONYPIN_DEMO_PORT:-18000}")
readonly base
readonly entries="http://127.0.0.1:$((base + 1)),http://127.0.0.1:$((base + 2))"
workers=""

say "log, $WORKERS workers with agents and 2 entries on ports from $base"
start log "$BUILD/bin/ebonypin_standin" --kind=log --listen="127.0.0.1:$base"
for i in $(seq $WORKERS); do
  start "worker-$i" "$BUILD/bin/ebonypin_standin" --kind=worker --listen="127.0.0.1:$((base + 20 + i))"
  workers+="${workers:+,}http://127.0.0.1:$((base + 20 + i))"
done
for i in 1 2; do
  write_entry "$i"
  start "entry-$i" "$BUILD/bin/ebonypind" --settings="$work/entry-$i.ini"
done
for i in $(seq $WORKERS); do
  write_agent "$i"
  start "agent-$i" "$BUILD/bin/ebonypind" --settings="$work/agent-$i.ini"
done

wait_for "contact with an entry" ctl status
for file in examples/krakow.ini examples/association.ini; do
  wait_for "creation of the classes in $file" ctl class apply "$file"
done
ctl class list
wait_for "contact with all $WORKERS agents" all_instances_ready
say "all agents are ready"

"$BUILD/bin/ebonypin_demo" --entries="$entries" --workers="$workers" --seconds="$SECONDS_TO_SEND" \
  --seed="${EBONYPIN_DEMO_SEED:-1}" &
traffic=$!
pids[traffic]=$traffic

sleep "$((SECONDS_TO_SEND / 3))"
say "kill -9 entry-1, which owns part of the jobs"
kill_hard entry-1
sleep 1
say "kill -9 the agent of worker-1, whose tasks go on"
kill_hard agent-1
sleep 2
say "the platform starts the agent of worker-1 again"
start agent-1 "$BUILD/bin/ebonypind" --settings="$work/agent-1.ini"

status=0
wait "$traffic" || status=$?
unset 'pids[traffic]'
exit "$status"
