#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review/stands2 review/[6-9]/*.py || exit 1
[ ! -d review/10 ] || python3 -m compileall -q review/10 || exit 1
