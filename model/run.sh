#!/usr/bin/env bash
# Checks each Spin model: with all guards, the search must be complete and find no violation; with
# any one guard removed, it must find a violation. Prints the number of states searched.
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# Limit of a search, in memory: its verdict doesn't depend on the speed of the machine.
SEARCH_LIMIT_MB=2000

# Searches at a time. One processor is left to the tests that CI runs beside the models.
n_searches=$(($(nproc) > 4 ? 4 : $(nproc) > 2 ? $(nproc) - 1 : 1))

# search MODEL [GUARD]: prints "errors states completeness"
search() {
  mkdir "$work/$1$2" && cd "$work/$1$2" || exit 1
  spin -a ${2:+-D$2} "$here/$1.pml" >spin.log && cc -O2 -w -DSAFETY \
    -DMEMLIM="$SEARCH_LIMIT_MB" -o pan pan.c || { cat spin.log; echo "error - failed"; return; }
  ./pan -m3000000 -w25 >out.log 2>&1
  awk '/errors:/ { e = $NF } /states, stored/ { s = $1 } /not completed|max search depth/ { c = "partial" }
    END { print (e == "" ? "-" : e), (s == "" ? "-" : s), (c == "" ? "complete" : c) }' out.log
  cd "$here" || exit 1
}

check_all_guards() {
  read -r errors states completeness <"$work/$1.result"
  if [ "$errors" = 0 ] && [ "$completeness" = complete ]; then
    echo "ok: $1, all guards: no violation in $states states, complete"
  else
    echo "FAILED: $1, all guards: errors $errors, states $states, $completeness"
    failed=$((failed + 1))
  fi
}

check_without_guard() {
  read -r errors states completeness <"$work/$1$2.result"
  case $errors in
    0 | -) echo "FAILED: $1 with $2: no violation found ($states states)"; failed=$((failed + 1)) ;;
    *) echo "ok: $1 with $2: violation found after $states states" ;;
  esac
}

runs="start freshness publish
start:NO_FRESHNESS start:NO_OWNER start:NO_HORIZON start:NO_RECORD start:NO_INCARNATION
freshness:NO_FRESHNESS freshness:NO_MAJORITY freshness:NO_ACCEPT freshness:NO_OLD_MEMBERS
freshness:NO_NEW_MEMBERS freshness:NO_CONFIRM
publish:NO_CAS publish:NO_HISTORY publish:NO_RETRY publish:NO_ORDER"
for run in $runs; do
  model=${run%%:*} guard=${run#"$model"} guard=${guard#:}
  (search "$model" "$guard" >"$work/$model$guard.result") &
  while [ "$(jobs -r 2>/dev/null | wc -l)" -ge "$n_searches" ]; do sleep 0.2; done
done
wait
for run in $runs; do
  case $run in
    *:*) check_without_guard "${run%%:*}" "${run#*:}" ;;
    *) check_all_guards "$run" ;;
  esac
done
total=$(echo $runs | wc -w)
echo "$((total - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
