#!/usr/bin/env bash
# A job of 4,000 tasks that save their state runs. Its progress does not fit into a record of the
# store, and from then on nothing is stored: no job is accepted, and none is done.
# TROUBLE=0: the job has 400 tasks.
cd "$(dirname "$0")/../.." || exit 2
folder=review/12
. review/play-3/lib.sh
: > "$record"
entries=2
workers=4
count=4000
[ "$trouble" != 0 ] || count=400
saved=${SAVED:-9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08}

start_store
start_store_gate 262144 2097152 # RecordBytes and CallBytes of DEPLOY.md
put_config '{"Version":7,"Routes":[{"Name":"render","Host":"desk.example","PathPrefix":"/render/","Service":"desk","Prio":2,"Attempts":4,"Stretch":2,"SloMs":1000},{"Name":"proof","Host":"desk.example","PathPrefix":"/proof/","Service":"desk","Prio":0,"Attempts":4,"Stretch":1.5,"SloMs":300}],"Services":[{"Name":"desk","EnforcesCapacity":true}]}'
for i in $(seq $entries); do start_entry "$i"; done
for i in $(seq $workers); do start_saving_gate "$i" "$saved"; start_pair "$i" desk 16000; done

warm=/render/00000000000000aa
ready() { submit $warm "{\"Spec\":\"run 100\",\"Steps\":[{\"Count\":$workers,\"Cpu\":500,\"MemMb\":64,\"EstMs\":100}]}" && is_done $warm; }
wait_for 20 ready || cannot "the site does not come up"

large=/render/00000000000000b1
submit $large "{\"Spec\":\"run 15000\",\"Steps\":[{\"Count\":$count,\"Cpu\":10,\"MemMb\":8,\"EstMs\":15000,\"Checkpointing\":true}]}" || cannot "the large job is not accepted"
sleep 10
for i in $(seq $workers); do note "worker-$i has at work: $(runs "$i" | grep -c ' at-work$')"; done
# A small job shows that all goes well until then.
small=/proof/00000000000000c1
submit $small '{"Spec":"run 200","Steps":[{"Count":1,"Cpu":100,"MemMb":8,"EstMs":200}]}' || cannot "a small job is not accepted before the large one ends"
wait_for 3 is_done $small || cannot "a small job is not done before the large one ends"
sleep 12
note "the work of the large job is over at the workers"
for i in $(seq $workers); do note "worker-$i: $(runs "$i" | grep -c ' done$') done, $(runs "$i" | grep -c ' at-work$') at work"; done

# From here on nothing is disturbed. Jobs are handed in, with their repeats, for 20 s.
verdict=0
accepted=0
until_ms=$(($(now) + 20000))
number=0
while [ "$(now)" -lt $until_ms ]; do
  call $((number % entries + 1)) POST /proof/00000000000000d1 '{"Spec":"run 200","Steps":[{"Count":1,"Cpu":100,"MemMb":8,"EstMs":200}]}'
  number=$((number + 1))
  [ "$status" = 200 ] && { accepted=1; break; }
  sleep 1
done
call 1 GET $large
case $answer in *done*) ;; *) wait_for 20 is_done $large ;; esac
case $answer in
  *done*) note "the large job is shown as done" ;;
  *)
    note "BROKEN: LOST. The large job is not shown as done, over 30 s after its work; answer: $status $answer"
    verdict=1 ;;
esac
if [ $accepted = 0 ]; then
  note "BROKEN: a job that was handed in $number times in 20 s got no 2xx, 429, 503 or 404"
  verdict=1
fi
for i in $(seq $workers); do note "worker-$i has at work: $(runs "$i" | grep -c ' at-work$')"; done
note "the store refused: $(grep -c refused "$work/gate-store.log") appends; $(grep -m 1 refused "$work/gate-store.log" | sed 's/.*: //')"
exit $verdict
