#!/bin/sh
# Builds the stand-ins of the cases: plain Python files without dependencies.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")' standins.py */case.py
