#!/bin/sh
# Checks the stand-ins that the cases start. They are Python modules of review/ and tests/, so
# nothing has to be compiled.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.py review/*/case.py tests/standin_platform.py tests/standin_http.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 11))'
