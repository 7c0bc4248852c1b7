#!/bin/sh
# Runs histories with the seeds given, at most 3 at a time, and fails if any of them does.
set -u
build=${BUILD:-build}
mkdir -p "$build/histories"
export build
printf '%s\n' "$@" | xargs -P 3 -I{} sh -c '
  python3 tests/histories.py --build "$build" --seed {} >"$build/histories/seed-{}.out" 2>&1
  code=$?
  cat "$build/histories/seed-{}.out"
  exit $code'
