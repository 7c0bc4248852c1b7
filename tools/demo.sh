#!/usr/bin/env bash
# Demonstration on loopback with a store, 2 entries, 3 agents and 3 upstreams in 3 failure domains.
# Checks each step; the exit code is 0 only if all succeed and every process exits with code 0.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
settings=$work/settings
host=""
pids=""
steps=0

stop_all() {
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "FAILED: $*"
  for log in "$work"/*.log; do
    echo "--- $(basename "$log")"
    tail -n 5 "$log"
  done
  exit 1
}

step() {
  steps=$((steps + 1))
  echo "[$steps] $*"
}

run() { # run NAME PROGRAM SETTINGS
  "$build/$2" --config "$settings/$3.json" >"$work/$1.log" 2>&1 &
  pids="$pids $!"
  eval "pid_$1=$!"
}

wait_until() { # wait_until SECONDS COMMAND...
  local tries=$(($1 * 20))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.05
  done
}

is_host_free() { # is_host_free HOST: whether the demonstration can use all of its ports there
  local port
  for port in $(grep -ohE '127\.0\.0\.1:[0-9]+' examples/demo/settings/*.json | cut -d: -f2 | sort -u); do
    ! (exec 3<>"/dev/tcp/$1/$port") 2>/dev/null || return 1
  done
}

# Demonstrations that run at the same time have different process ids, and so loopback addresses of
# their own.
for try in $(seq 20); do
  id=$(($$ + try * 1009))
  candidate=127.$((1 + id % 254)).$((3 + id / 254 % 250)).1
  if is_host_free "$candidate"; then
    host=$candidate
    break
  fi
done
[ -n "$host" ] || { echo "FAILED: no loopback address with free ports"; exit 1; }
mkdir "$settings"
for file in examples/demo/settings/*.json; do
  sed "s/127\.0\.0\.1:/$host:/" "$file" >"$settings/$(basename "$file")"
done

is_healthy() { curl -sf -m 1 "http://$host:$1/healthz"; }
agents_connected() {
  [ "$(curl -s -m 1 "http://$host:$1/v1/status" | grep -o '"connected": *true' | wc -l)" -ge 3 ]
}
ctl() { "$build/azurerock-ctl" --config "$settings/ctl.json" "$@"; }
new_id() { echo "$(date +%s%3N)-$(od -An -N6 -tx1 /dev/urandom | tr -d ' \n')"; }

job() { # job ID TASKS SLEEP_MS
  local tasks="" i
  for i in $(seq "$2"); do
    tasks="$tasks${tasks:+,}{\"payload\":\"{\\\"sleep_ms\\\":$3,\\\"echo\\\":\\\"$i\\\"}\"}"
  done
  echo "{\"id\":\"$1\",\"team\":\"visitors\",\"service\":\"demo\",\"deadline_ms\":5000,\"tasks\":[$tasks]}"
}

submit() { # submit ENTRY_PORT ID TASKS SLEEP_MS: prints the answer
  job "$2" "$3" "$4" | curl -s -m 10 -X POST --data-binary @- "http://$host:$1/v1/jobs"
}

expect_done() { # expect_done ANSWER TASKS
  local results
  results=$(echo "$1" | grep -o '"results": *\[[^]]*\]' | grep -o '"' | wc -l)
  case $1 in
    *'"outcome"'*'"done"'*) ;;
    *) fail "the job is not done: $1" ;;
  esac
  [ "$results" -eq $((2 + 2 * $2)) ] || fail "results are not complete: $1"
}

starts() { # starts UPSTREAM_PORT: tasks that this upstream has started
  curl -s -m 2 "http://$host:$1/standin/stats" | grep -o '"starts": *[0-9]*' | grep -o '[0-9]*$'
}
all_starts() { echo $(($(starts 8101) + $(starts 8102) + $(starts 8103))); }

step "start the store, 2 entries, 3 upstreams and 3 agents in domains a, b and c"
run store azurerock-standin-store store
wait_until 5 curl -s -m 1 "http://$host:8500/standin/stats" || fail "the store does not answer"
run entry_a azurerock-entry entry-a
run entry_b azurerock-entry entry-b
for i in 1 2 3; do run "upstream_$i" azurerock-standin-upstream "upstream-$i"; done
for i in 1 2 3; do run "agent_$i" azurerock-agent "agent-$i"; done

step "check and publish examples/demo"
ctl check examples/demo || fail "check of examples/demo"
mkdir "$work/objects"
cp examples/demo/objects/*.json "$work/objects/"
ctl --message "demonstration" publish "$work/objects" || fail "publication of examples/demo"
wait_until 10 is_healthy 7901 || fail "entry-a is not ready"
wait_until 10 is_healthy 7902 || fail "entry-b is not ready"
wait_until 10 agents_connected 7901 || fail "agents are not connected to entry-a"
wait_until 10 agents_connected 7902 || fail "agents are not connected to entry-b"
# Until the handover time has passed, an entry may not know ids from before it joined.
sleep 5

step "submit jobs of 1 and 40 tasks through both entries"
jobs=0
for port in 7901 7902; do
  for n in 1 1 1 40; do
    expect_done "$(submit "$port" "$(new_id)" "$n" 50)" "$n"
    jobs=$((jobs + 1))
  done
done
echo "    $jobs jobs done, $(all_starts) tasks started"

step "resubmit a job through the other entry: same answer, no second start"
id=$(new_id)
first=$(submit 7901 "$id" 8 20)
before=$(all_starts)
second=$(submit 7902 "$id" 8 20)
expect_done "$first" 8
[ "$first" = "$second" ] || fail "answers differ: $first $second"
[ "$(all_starts)" -eq "$before" ] || fail "a task of the resubmitted job started again"

step "refuse a job of an unknown service, with a typed error"
answer=$(job "$(new_id)" 1 1 | sed 's/"demo"/"nowhere"/' |
  curl -s -m 5 -X POST --data-binary @- "http://$host:7901/v1/jobs")
echo "    $answer"
case $answer in *'"not_run"'*unknown_service*) ;; *) fail "no typed refusal: $answer" ;; esac

step "withdraw domain b: no task starts there 3 s later"
ctl --message "take b out" --publish withdraw domain/b "$work/objects" || fail "withdrawal of domain b"
sleep 3
starts_in_b=$(starts 8102)
for _ in 1 2 3; do expect_done "$(submit 7901 "$(new_id)" 16 20)" 16; done
[ "$(starts 8102)" -eq "$starts_in_b" ] || fail "a task started in the withdrawn domain"

step "restore domain b: tasks start there again"
ctl --message "bring b back" --publish restore domain/b "$work/objects" || fail "restoration of domain b"
sleep 1
for _ in 1 2 3; do expect_done "$(submit 7902 "$(new_id)" 48 50)" 48; done
[ "$(starts 8102)" -gt "$starts_in_b" ] || fail "no task started in the restored domain b"
ctl history | head -n 4

step "stop everything with SIGTERM"
# entry_b hands its partitions over; entry_a is then the last entry and needs no handover.
for name in agent_1 agent_2 agent_3 entry_b entry_a upstream_1 upstream_2 upstream_3 store; do
  eval "pid=\$pid_$name"
  kill -TERM "$pid"
  wait "$pid"
  code=$?
  [ "$code" -eq 0 ] || fail "$name ended with exit code $code"
done
echo "summary: $steps steps, all succeeded"
