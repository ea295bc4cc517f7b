#!/usr/bin/env bash
# Guards against a process that starts with wrong settings, and against exit codes that do not tell a
# calling script why the program failed. Checks exit codes and messages of ebonypind and ebonypinctl
# without any server.
set -u
bin="$1"
examples="$2"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

# expect CODE TEXT COMMAND...: runs the command and compares its exit code and output.
expect() {
  local code=$1 text=$2 output status=0
  shift 2
  output=$("$@" 2>&1) || status=$?
  if [[ "$status" != "$code" || "$output" != *"$text"* ]]; then
    echo "FAILED: $* ended with $status instead of $code, or without '$text': $output"
    failures=$((failures + 1))
  fi
}

printf '[process]\nrole = entry\nrcp = 1\n' > "$folder/wrong.ini"
expect 0 "settings are valid" "$bin/ebonypind" --check --settings="$examples/entry.ini"
expect 0 "role fleet_entry" "$bin/ebonypind" --check --settings="$examples/fleet_entry.ini"
expect 0 "role fleet_agent" "$bin/ebonypind" --check --settings="$examples/fleet_agent.ini"
expect 0 "id other" "$bin/ebonypind" --check --settings="$examples/agent.ini" --process_id=other
expect 2 "wrong.ini:3: unknown key 'rcp'" "$bin/ebonypind" --settings="$folder/wrong.ini"
expect 2 "--log_timeout: '3' is refused" "$bin/ebonypind" --settings="$examples/entry.ini" --log_timeout=3
expect 2 "cannot be read" "$bin/ebonypind" --settings="$folder/none.ini"
expect 2 "no settings" "$bin/ebonypind"
expect 2 "unexpected argument" "$bin/ebonypind" "$examples/entry.ini"

# Nothing listens on port 1 of loopback.
ctl=("$bin/ebonypinctl" --entry=http://127.0.0.1:1 --operator=test)
expect 0 "usage: ebonypinctl class apply FILE" "${ctl[@]}" class apply --help
expect 0 "3 classes are valid" "${ctl[@]}" class check "$examples/krakow.ini"
expect 1 "unknown command" "${ctl[@]}" statu
expect 1 "unknown command line flag" "${ctl[@]}" status --folow
expect 1 "--follow has no effect on 'status'" "${ctl[@]}" status --follow
expect 2 "section [process] is refused" "${ctl[@]}" class check "$examples/entry.ini"
expect 2 "--deadline: '5' is refused" "${ctl[@]}" request --class=preview --deadline=5
expect 6 "cannot connect" "${ctl[@]}" status
expect 6 '"answer":"not_run"' "${ctl[@]}" status --json

((failures == 0)) && echo "OK"
exit $((failures > 0))
