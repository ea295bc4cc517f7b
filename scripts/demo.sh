#!/usr/bin/env bash
# Runs one entry, two agents and two worker stand-ins on loopback and sends requests through them.
set -euo pipefail
build="${1:-build}"
work=$(mktemp -d)
pids=()
cleanup() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap cleanup EXIT

"$build/bin/ebonypin_standin" --kind=log --listen=127.0.0.1:7400 & pids+=($!)
for i in 1 2; do
  "$build/bin/ebonypin_standin" --kind=worker --listen="127.0.0.1:730$i" & pids+=($!)
  cat > "$work/agent$i.ini" <<INI
[process]
role = agent
id = agent-$i
domain = domain-$i
rpc = 127.0.0.1:720$i
seeds = 127.0.0.1:7101
[worker]
url = http://127.0.0.1:730$i
cpu_millis = 16000
memory = 60GB
INI
done
cat > "$work/entry.ini" <<INI
[process]
role = entry
id = entry-1
domain = domain-1
rpc = 127.0.0.1:7101
http = 127.0.0.1:7001
[log]
url = http://127.0.0.1:7400
INI
"$build/bin/ebonypind" --settings="$work/entry.ini" & pids+=($!)
for i in 1 2; do "$build/bin/ebonypind" --settings="$work/agent$i.ini" & pids+=($!); done

class='{"base_revision":0,"operator":"demo","change_id":"demo-1","spec":{"team":"workshop","kind":"request","target":{"latency_ms":100}}}'
for _ in $(seq 100); do
  curl -s -o "$work/class" -X PUT -H 'Content-Type: application/json' -d "$class" http://127.0.0.1:7001/v1/classes/preview || true
  grep -q '"done"' "$work/class" 2>/dev/null && break
  sleep 0.1
done
for _ in $(seq 100); do
  answer=$(curl -s -X POST -H 'Content-Type: application/json' -d '{"id":"r0","class":"preview","payload":"plate"}' http://127.0.0.1:7001/v1/requests || true)
  [[ "$answer" == *'"done"'* ]] && break
  sleep 0.1
done
done=0
for i in $(seq 20); do
  answer=$(curl -s -X POST -H 'Content-Type: application/json' -d "{\"id\":\"r$i\",\"class\":\"preview\",\"payload\":\"plate $i\"}" http://127.0.0.1:7001/v1/requests)
  [[ "$answer" == *"\"id\":\"r$i\""* && "$answer" == *"served:plate $i"* ]] && done=$((done + 1))
done
echo "requests done: $done of 20"
[[ "$done" -eq 20 ]]
