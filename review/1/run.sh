#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# case is played without its disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
python3 -B -c 'import sys; sys.path.insert(0, sys.argv[1]); import deployment' "$folder/../lib" ||
  exit 2
exec python3 -B "$folder/case.py"
