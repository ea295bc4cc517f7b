#!/usr/bin/env bash
# Measures processor share, resident memory and RPC bytes of an entry and an agent: footprint.sh [BUILD] [SECONDS]
# Three entries, one worker; first idle, then with 8 slots under load.
set -euo pipefail
build="${1:-build}"
seconds="${2:-10}"
base="${FOOTPRINT_PORT:-8600}"
work=$(mktemp -d)
pids=()
cleanup() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap cleanup EXIT

"$build/bin/ebonypin_standin" --kind=log --listen="127.0.0.1:$base" > /dev/null & pids+=($!)
"$build/bin/ebonypin_standin" --kind=worker --listen="127.0.0.1:$((base + 1))" > /dev/null & pids+=($!)
seeds="127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12)),127.0.0.1:$((base + 13))"
for i in 1 2 3; do
  printf '[process]\nrole = entry\nid = entry-%s\ndomain = d-%s\nrpc = 127.0.0.1:%s\nhttp = 127.0.0.1:%s\nmetrics = 127.0.0.1:%s\nseeds = %s\nlog_level = error\n[log]\nurl = http://127.0.0.1:%s\n' \
    "$i" "$i" "$((base + 10 + i))" "$((base + 20 + i))" "$((base + 30 + i))" "$seeds" "$base" > "$work/entry$i.ini"
  "$build/bin/ebonypind" --settings="$work/entry$i.ini" & pids+=($!)
done
entry=${pids[2]}
printf '[process]\nrole = agent\nid = agent-1\ndomain = d-1\nrpc = 127.0.0.1:%s\nmetrics = 127.0.0.1:%s\nseeds = %s\nlog_level = error\n[worker]\nurl = http://127.0.0.1:%s\ncpu_millis = 16000\nmemory = 60GB\n' \
  "$((base + 14))" "$((base + 34))" "$seeds" "$((base + 1))" > "$work/agent.ini"
"$build/bin/ebonypind" --settings="$work/agent.ini" & agent=$!; pids+=("$agent")

api="http://127.0.0.1:$((base + 21))"
ready=0
for _ in $(seq 100); do
  curl -s "$api/v1/instances" 2>/dev/null | grep -q agent-1 && { ready=1; break; }
  sleep 0.2
done
((ready)) || { echo "error: the entry does not answer at $api" >&2; exit 1; }
put() { curl -s -o /dev/null -X PUT -H 'Content-Type: application/json' -d "{\"base_revision\":0,\"operator\":\"footprint\",\"change_id\":\"$1\",\"spec\":{\"team\":\"t\",$2}}" "$api/v1/classes/$1"; }
put render '"kind":"job","exclusive":true,"non_idempotent":true,"target":{}'
put preview '"kind":"request","target":{}'

cpu_ns() { cat "/proc/$1"/task/*/schedstat | awk '{ sum += $1 } END { printf "%.0f", sum }'; }
rpc_bytes() { curl -s "http://127.0.0.1:$1/metrics" | awk '/^ebonypin_rpc_(sent|received)_bytes_total/ { sum += $2 } END { printf "%.0f", sum }'; }
measure() {
  local name=$1 entry_cpu agent_cpu entry_bytes agent_bytes
  entry_cpu=$(cpu_ns "$entry"); agent_cpu=$(cpu_ns "$agent")
  entry_bytes=$(rpc_bytes $((base + 31))); agent_bytes=$(rpc_bytes $((base + 34)))
  sleep "$seconds"
  row entry "$name" "$(($(cpu_ns "$entry") - entry_cpu))" "$entry" "$(($(rpc_bytes $((base + 31))) - entry_bytes))"
  row agent "$name" "$(($(cpu_ns "$agent") - agent_cpu))" "$agent" "$(($(rpc_bytes $((base + 34))) - agent_bytes))"
}
row() {
  local memory
  memory=$(awk '/VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$4/status")
  awk -v role="$1" -v state="$2" -v cpu="$3" -v s="$seconds" -v memory="$memory" -v bytes="$5" \
    'BEGIN { printf "%-6s %-28s %8.2f %10.1f %12.0f\n", role, state, cpu / s / 1e7, memory, bytes / s }'
}

printf '%-6s %-28s %8s %10s %12s\n' role state "cpu %" "memory MB" "RPC bytes/s"
sleep 3
measure idle
for i in $(seq 6); do
  curl -s -o /dev/null -X POST -H 'Content-Type: application/json' \
    -d "{\"id\":\"j$i\",\"class\":\"render\",\"payload\":\"{\\\"run_ms\\\":600000}\",\"size\":{\"cpu_millis\":1000,\"memory_mb\":512}}" "$api/v1/jobs"
done
sleep 3
measure "6 exclusive tasks"
for i in 1 2; do
  (end=$((SECONDS + seconds + 3)); while ((SECONDS < end)); do
    curl -s -o /dev/null -X POST -H 'Content-Type: application/json' -d "{\"id\":\"r$i-$RANDOM\",\"class\":\"preview\",\"payload\":\"{\\\"run_ms\\\":50}\"}" "$api/v1/requests" || true
  done) &
  pids+=($!)
done
sleep 1
measure "6 tasks, 2 callers in a loop"
