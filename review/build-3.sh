#!/bin/sh
# The stand-ins that the scripts of this review start are Python modules, so there is nothing to
# compile; this checks that the interpreter is recent enough and reads them.
set -e
cd "$(dirname "$0")/.."
python3 -B - review/lib-3/*.py tests/standin_http.py <<'END'
import ast
import sys
import tomllib  # noqa: F401, since Python 3.11

for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
END
