#!/bin/sh
# Usage: run_seeds.sh NAME COMMAND SEED...
# Runs COMMAND with "{}" replaced by each seed, at most JOBS (default 3) at a time, and fails if any
# run fails. A run prints "violated: RULE, ..." for each violated rule. A failed run counts as
# skipped if KNOWN-RED.txt lists each of its rules for the seed ("test: NAME SEED RULE").
set -u
name=$1 command=$2
shift 2
folder=${BUILD:-build}/$name
mkdir -p "$folder"
export folder command
printf '%s\n' "$@" | xargs -P "${JOBS:-3}" -n 1 sh -c '
  out="$folder/seed-$1.out"
  eval "$(printf %s "$command" | sed "s/{}/$1/g")" >"$out" 2>&1
  code=$?
  echo "exit code $code" >>"$out"
  if [ "$code" = 0 ]; then tail -n 3 "$out"; else cat "$out"; fi' sh
passed=0 failed=0 known=0
for seed in "$@"; do
  out="$folder/seed-$seed.out"
  rules=$(sed -n 's/^violated: \([A-Z0-9_]*\), .*/\1/p' "$out" | sort -u)
  unlisted=0
  for rule in $rules; do
    grep -q "^test: $name $seed $rule\$" KNOWN-RED.txt || unlisted=1
  done
  if grep -q '^exit code 0$' "$out"; then
    passed=$((passed + 1))
  elif [ -n "$rules" ] && [ "$unlisted" = 0 ]; then
    echo "known red: $name seed $seed violates" $rules "(see KNOWN-RED.txt)"
    known=$((known + 1))
  else
    echo "FAILED: $name seed $seed"
    failed=$((failed + 1))
  fi
done
echo "$name: $passed passed, $failed failed, $known skipped"
[ "$failed" -eq 0 ]
