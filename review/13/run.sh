#!/usr/bin/env bash
# Many jobs are cancelled at once. Each stop of a task takes 0.35 s at its worker, which may take
# StopMs (0.4 s). Tasks of the cancelled jobs go on for seconds longer than they may.
# TROUBLE=0: a quarter of the jobs is handed in and cancelled.
cd "$(dirname "$0")/../.." || exit 2
folder=review/13
. review/play-3/lib.sh
: > "$record"
entries=2
workers=2
jobs=8
[ "$trouble" != 0 ] || jobs=2
width=36 # the widest step of proof-preview
cancel_ms=3000
stop_ms=400

start_store
put_config '{"Version":7,"Routes":[{"Name":"proof","Host":"desk.example","PathPrefix":"/proof/","Service":"desk","Prio":0,"Attempts":4,"Stretch":1.5,"SloMs":300}],"Services":[{"Name":"desk","EnforcesCapacity":true}]}'
for i in $(seq $entries); do start_entry "$i"; done
for i in $(seq $workers); do
  start_slow_gate "$i" 350 /run-stop
  start_pair "$i" desk 16000
done

warm=/proof/00000000000000aa
ready() { submit $warm "{\"Spec\":\"run 100\",\"Steps\":[{\"Count\":$workers,\"Cpu\":500,\"MemMb\":64,\"EstMs\":100,\"MaxPerServer\":1}]}" && is_done $warm; }
wait_for 20 ready || cannot "the site does not come up"

for i in $(seq $jobs); do
  submit /proof/00000000000000b$i "{\"Spec\":\"run 30000\",\"Steps\":[{\"Count\":$width,\"Cpu\":100,\"MemMb\":64,\"EstMs\":30000,\"MaxPerServer\":$((width / workers))}]}" || cannot "a job is not accepted"
done
count() {
  local i
  at_work=0
  for i in $(seq $workers); do at_work=$((at_work + $(runs "$i" | grep -c '^00000000000000b.* at-work$'))); done
}
all() { count; [ $at_work = $((jobs * width)) ]; }
wait_for 10 all || cannot "not all tasks run"
sleep 4
note "$at_work tasks of $jobs jobs are at work"

for i in $(seq $jobs); do
  call $((i % entries + 1)) DELETE /proof/00000000000000b$i
  [ "$status" = 200 ] || [ "$status" = 410 ] || cannot "a cancel is not acknowledged"
done
acknowledged=$(now)
note "all cancels are acknowledged"
verdict=0
last=
while [ $(($(now) - acknowledged)) -lt 12000 ]; do
  asked=$(($(now) - acknowledged))
  count
  note "$asked ms after the last acknowledgement $at_work tasks are at work"
  if [ $asked -gt $((cancel_ms + stop_ms)) ] && [ $at_work -gt 0 ]; then
    [ $verdict = 1 ] || note "BROKEN: UNASKED. Tasks run on StopMs after cancel_ms after the acknowledgement ($((cancel_ms + stop_ms)) ms)"
    verdict=1
  fi
  [ $at_work -gt 0 ] || break
  sleep 0.2
done
exit $verdict
