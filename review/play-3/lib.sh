# Functions of the scripts of the cases. A script sets `folder` to its own folder, and reads this
# file from the root of the repository.
#
# Everything listens on 127.0.0.1. Settings are the deploy file's templates, filled in.
set -u
trouble=${TROUBLE:-1}
record=$folder/record.txt
system=target/bin/ebonypind
standin=target/review-3/bin/ebonypin_standin
http=target/review-3/bin/call
work=$(mktemp -d)
declare -A process address
began=$(date +%s%3N)

now() { echo $(($(date +%s%3N) - began)); }
note() { printf '%7d ms  %s\n' "$(now)" "$*" >> "$record"; }

finish() {
  local name
  for name in "${!process[@]}"; do kill -CONT "${process[$name]}" 2> /dev/null; kill -KILL "${process[$name]}" 2> /dev/null; done
  wait 2> /dev/null
  rm -rf "$work"
}
trap finish EXIT
cannot() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

# port NAME: chooses a free port.
port() {
  local number
  while :; do
    number=$((20000 + RANDOM % 12000))
    [ -e "$work/port-$number" ] && continue
    (exec 3<> "/dev/tcp/127.0.0.1/$number") 2> /dev/null && continue
    : > "$work/port-$number"
    address[$1]=127.0.0.1:$number
    return
  done
}

# launch NAME COMMAND...: starts a process in the background, with its output in a file.
launch() {
  local name=$1
  shift
  "$@" >> "$work/$name.log" 2>&1 &
  process[$name]=$!
  disown
  note "started $name: $(basename "$1")"
}
# end NAME SIGNAL
end() { kill "-$2" "${process[$1]}" 2> /dev/null; note "sent SIG$2 to $1"; }

# render TEMPLATE SED...: fills in a template of settings.
render() {
  local template=$1
  shift
  sed -e '/{{#Advice}}/,/{{\/Advice}}/d' -e '/{{#Cloud.Addr}}/,/{{\/Cloud.Addr}}/d' \
    -e '/^{{[#\/]/d' "$@" -e 's/{{Region}}/region-a/' -e 's/{{Zone}}/domain-a/' \
    -e "s/{{platform.Addr}}/${address[store_used]}/" "$template"
}

start_store() {
  port store
  address[store_used]=${address[store]}
  launch store "$standin" --kind=store "--listen=${address[store]}"
  wait_for 10 "$http" 500 GET "${address[store]}" / > /dev/null || cannot "the store does not start"
}

# put_config JSON
put_config() {
  local text=${1//\"/\\\"}
  "$http" 3000 POST "${address[store]}" /faults \
    "{\"put\":{\"topic\":\"keyed.op\",\"key\":\"config\",\"value\":\"$text\"}}" > /dev/null || cannot "the store takes no record"
  note "operator: op/config $1"
}

# start_entry N
start_entry() {
  local name=entry-$1 part
  for part in front ready rpc metrics; do [ -n "${address[$name-$part]:-}" ] || port "$name-$part"; done
  render deploy/entry.ini -e "s/{{Node}}/$name/" -e "s/{{Ip}}:{{PortRange.0}}/${address[$name-rpc]}/" \
    -e "s/{{Ip}}:{{PortRange.1}}/${address[$name-metrics]}/" -e "s/{{Listen.Front}}/${address[$name-front]}/" \
    -e "s/{{Listen.Ready}}/${address[$name-ready]}/" -e 's/^processors = {{.}}/processors = 0.25/' \
    -e 's/{{.}}ms/1000ms/' -e 's/{{Limits.MemoryMb}}/260/' -e 's/{{Limits.MaxFds}}/4100/' > "$work/$name.ini"
  launch "$name" "$system" "--settings=$work/$name.ini" --drain_seconds=5
}

# start_agent N: for the worker that is reached at address[worker-N-used].
start_agent() {
  local name=agent-$1 part
  for part in rpc control metrics; do [ -n "${address[$name-$part]:-}" ] || port "$name-$part"; done
  render deploy/agent.ini -e "s/{{Node}}/$name/" -e "s/{{Ip}}:{{PortRange.0}}/${address[$name-rpc]}/" \
    -e "s/{{Ip}}:{{PortRange.1}}/${address[$name-metrics]}/" -e "s/{{Listen.Control}}/${address[$name-control]}/" \
    -e "s/{{app}}/${address[worker-$1-used]}/" -e 's/{{Bounds.HoldMaxMs}}/6000/' \
    -e 's/{{Limits.MemoryMb}}/128/' -e 's/{{Limits.MaxFds}}/4096/' > "$work/$name.ini"
  launch "$name" "$system" "--settings=$work/$name.ini" --drain_seconds=1
}

# start_worker N SERVICE CPU: the project's stand-in for a worker, which each start makes anew.
start_worker() {
  [ -n "${address[worker-$1]:-}" ] || port "worker-$1"
  [ -n "${address[worker-$1-used]:-}" ] || address[worker-$1-used]=${address[worker-$1]}
  launch "worker-$1" "$standin" --kind=run_worker "--listen=${address[worker-$1]}" \
    "--run_worker_control=${address[agent-$1-control]}" "--run_worker_id=w-$1" \
    "--run_worker_service=$2" "--run_worker_cpu_millis=$3"
}

# start_pair N SERVICE CPU: an agent and its worker.
start_pair() {
  [ -n "${address[worker-$1]:-}" ] || port "worker-$1"
  address[worker-$1-used]=${address[worker-$1-used]:-${address[worker-$1]}}
  start_agent "$1"
  start_worker "$1" "$2" "$3"
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
  local until=$(($(date +%s%3N) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(date +%s%3N)" -lt "$until" ] || return 1
    sleep 0.05
  done
}

# call ENTRY METHOD PATH [BODY]: a client's call; sets `status` and `answer`.
call() {
  local out
  out=$("$http" 3200 "$2" "${address[entry-$1-front]}" "$3" "${4:-}" 'Host: desk.example' 'Ebonypin-Deadline-Ms: 3000')
  status=${out##*$'\n'}
  answer=${out%$'\n'*}
  note "client: $2 $3 at entry-$1 -> $status $answer"
}

# submit PATH BODY: hands a job in, with repeats at the other entries as clients do.
submit() {
  local try
  for try in 1 2 3 4 5 6 7 8; do
    call $((try % entries + 1)) POST "$1" "$2"
    [ "$status" = 200 ] && return 0
    sleep 0.3
  done
  return 1
}

# is_done PATH
is_done() { call 1 GET "$1"; [ "$answer" = '{"State":"done"}' ]; }

# runs N: what the worker has run in this life, one run a line, as TASK RUN STATE.
runs() {
  "$http" 1000 GET "${address[worker-$1]}" /sim/runs | tr '{' '\n' | grep '"Task"' |
    sed -E 's/.*"How":"([^"]*)".*"Run":([0-9]+).*"Task":"([^"]*)".*/\3 \2 \1/' | sed 's/ $/ at-work/'
}

# start_gate N FILE PATH...: a proxy in front of worker N; see review/play-3/gate.cc. Call it before start_pair.
start_gate() {
  local n=$1
  shift
  port "worker-$n"
  port "worker-$n-used"
  launch "gate-$n" target/review-3/bin/gate "${address[worker-$n-used]##*:}" "${address[worker-$n]##*:}" hang "$@"
}

# start_saving_gate N TEXT: a proxy in front of worker N that lists running tasks with a saved state.
start_saving_gate() {
  port "worker-$1"
  port "worker-$1-used"
  launch "gate-$1" target/review-3/bin/gate "${address[worker-$1-used]##*:}" "${address[worker-$1]##*:}" save "$2"
}

# start_store_gate RECORD CALL: a proxy in front of the store that keeps to the limits of its page.
start_store_gate() {
  port store_used
  launch gate-store target/review-3/bin/gate "${address[store_used]##*:}" "${address[store]##*:}" limit "$1" "$2"
}

# start_slow_gate N MS PATH...: a proxy in front of worker N that passes calls on late.
start_slow_gate() {
  local n=$1
  shift
  port "worker-$n"
  port "worker-$n-used"
  launch "gate-$n" target/review-3/bin/gate "${address[worker-$n-used]##*:}" "${address[worker-$n]##*:}" slow "$@"
}
