#!/bin/sh
# The stand-ins are Python and need no build beyond the program's own: this compiles them as a check.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
