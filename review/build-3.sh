#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: one module and a script a case in Python, with its standard library only.
# There is nothing to compile; this checks that the interpreter is there and that the files are sound.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null
python3 -B - standins-3/*.py 1[1-5]/*.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PY
