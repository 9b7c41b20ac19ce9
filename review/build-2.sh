#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can be used. They are Python and need the standard library alone,
# with the interpreter that the build of the deploy file has installed: nothing is compiled or fetched.
set -eu
cd "$(dirname "$0")"
for file in harness_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
  [ -f "$file" ] || continue
  PYTHONDONTWRITEBYTECODE=1 ../.venv/bin/python - "$file" <<'END'
import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
END
done
PYTHONDONTWRITEBYTECODE=1 ../.venv/bin/python -c 'import harness_2'
