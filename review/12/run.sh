#!/usr/bin/env bash
# A worker crashes and comes back. The large task that ran there is never started again, although
# every worker has room for it: small tasks that last run on each. TROUBLE=0: no crash.
cd "$(dirname "$0")/../.." || exit 2
folder=review/12
. review/play-3/lib.sh
: > "$record"
entries=2
workers=7 # one of seven crashes: a share of 0.143
finish_s=14

start_store
put_config '{"Version":7,"Routes":[{"Name":"render","Host":"desk.example","PathPrefix":"/render/","Service":"desk","Prio":2,"Attempts":4,"Stretch":2,"SloMs":1000},{"Name":"sync","Host":"desk.example","PathPrefix":"/sync/","Service":"desk","Prio":0,"Attempts":3,"Stretch":2.2,"SloMs":2500}],"Services":[{"Name":"desk","EnforcesCapacity":true}]}'
for i in $(seq $entries); do start_entry "$i"; done
for i in $(seq $workers); do start_pair "$i" desk 16000; done

warm=/render/00000000000000aa
ready() { submit $warm "{\"Spec\":\"run 100\",\"Steps\":[{\"Count\":$workers,\"Cpu\":500,\"MemMb\":64,\"EstMs\":100,\"MaxPerServer\":1}]}" && is_done $warm; }
wait_for 20 ready || cannot "the site does not come up"

# A task of 15 cores on workers of 16, then one small task that lasts for each worker.
large=/render/00000000000000b1
small=/sync/00000000000000c1
submit $large '{"Spec":"run 8000","Steps":[{"Count":1,"Cpu":15000,"MemMb":512,"EstMs":8000}]}' || cannot "the large job is not accepted"
where_large() {
  local i
  for i in $(seq $workers); do
    runs "$i" | grep -q '^00000000000000b1.* at-work$' && { host=$i; return 0; }
  done
  return 1
}
wait_for 5 where_large || cannot "the large task does not start"
submit $small "{\"Spec\":\"last\",\"Steps\":[{\"Count\":$workers,\"Cpu\":100,\"MemMb\":64,\"EstMs\":500,\"LongRunning\":true,\"MaxPerServer\":1}]}" || cannot "the small job is not accepted"
sleep 3
note "the large task runs on worker-$host"
for i in $(seq $workers); do note "worker-$i runs: $(runs "$i" | tr '\n' ';')"; done

if [ "$trouble" != 0 ]; then
  end "worker-$host" KILL
  sleep 2
  start_worker "$host" desk 16000
fi
note "end of the traffic"

# finish_s after the end of the traffic, and no disruption since: is the task at work, or done?
for second in $(seq $((finish_s))); do sleep 1; done
idle_since=
verdict=0
for look in $(seq 40); do
  if where_large; then idle_since=; note "look $look: the large task is at work on worker-$host"
  else
    call 1 GET $large
    case $answer in *done*) note "held: the job is done"; break ;; esac
    [ -n "$idle_since" ] || idle_since=$(now)
    if [ $(($(now) - idle_since)) -ge 8000 ]; then
      for i in $(seq $workers); do note "worker-$i runs: $(runs "$i" | tr '\n' ';')"; done
      note "BROKEN: LOST. For 8 s the large job has nothing running; each of $workers workers has 15900 of 16000 free"
      verdict=1
      break
    fi
  fi
  sleep 0.5
done
grep -h 'b1' "$work"/entry-*.log | grep -v 'E[0-9]* call' | tail -3 | sed 's/^/  log: /' >> "$record"
exit $verdict
