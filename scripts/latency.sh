#!/usr/bin/env bash
# Measures the latency that entry and agent add to an empty lookup, the rate of one entry and the appends
# that jobs need, on loopback.
set -euo pipefail
build="${1:-build}"
seconds="${2:-10}"
base="${LATENCY_PORT:-7800}"
work=$(mktemp -d)
pids=()
cleanup() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap cleanup EXIT

api="http://127.0.0.1:$((base + 1))"
log="http://127.0.0.1:$base"
"$build/bin/ebonypin_standin" --kind=log --listen="127.0.0.1:$base" > "$work/log.out" 2>&1 & pids+=($!)
cat > "$work/entry.ini" <<INI
[process]
role = entry
id = entry-1
domain = domain-1
rpc = 127.0.0.1:$((base + 2))
http = 127.0.0.1:$((base + 1))
log_level = warn
[log]
url = $log
INI
"$build/bin/ebonypind" --settings="$work/entry.ini" & pids+=($!)
for i in 1 2 3 4; do
  "$build/bin/ebonypin_standin" --kind=worker --listen="127.0.0.1:$((base + 10 + i))" > "$work/worker$i.out" 2>&1 & pids+=($!)
  cat > "$work/agent$i.ini" <<INI
[process]
role = agent
id = agent-$i
domain = domain-$i
rpc = 127.0.0.1:$((base + 20 + i))
seeds = 127.0.0.1:$((base + 2))
log_level = warn
[worker]
url = http://127.0.0.1:$((base + 10 + i))
cpu_millis = 16000
memory = 60GB
INI
  "$build/bin/ebonypind" --settings="$work/agent$i.ini" & pids+=($!)
done

put() {
  curl -s -X PUT -H 'Content-Type: application/json' -d "{\"base_revision\":0,\"operator\":\"latency\",\"change_id\":\"$1\",\"spec\":{\"team\":\"t\",$2}}" "$api/v1/classes/$1" || true
}
ready=0
for _ in $(seq 100); do
  if [[ "$(put lookup '"kind":"request"')" == *'"done"'* && "$(put batch '"kind":"job"')" == *'"done"'* ]] &&
    curl -s "$api/v1/status" | grep -q '"instances":4'; then ready=1; break; fi
  sleep 0.1
done
[[ "$ready" -eq 1 ]] || { echo "error: the site did not become ready" >&2; exit 1; }

echo "one call at a time:"
"$build/bin/ebonypin_load" --entry="127.0.0.1:$((base + 1))" --endpoint="127.0.0.1:$((base + 11))" --seconds="$seconds"
for concurrency in 8 32; do
  echo "$concurrency calls at a time:"
  "$build/bin/ebonypin_load" --entry="127.0.0.1:$((base + 1))" --concurrency="$concurrency" --count=1000000 --seconds="$seconds"
done
appends() { curl -s "$log/status" | sed 's/.*"appends":\([0-9]*\).*/\1/'; }
before=$(appends)
echo "jobs, 64 calls at a time:"
"$build/bin/ebonypin_load" --entry="127.0.0.1:$((base + 1))" --path=/v1/jobs --work_class=batch --concurrency=64 --count=1000000 --seconds="$seconds"
echo "appends/s: $(((($(appends) - before)) / seconds))"
