#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python
# files without dependencies, so that checking them is enough.
set -eu
cd "$(dirname "$0")"
python3 - <<'EOF'
import pathlib

for path in [pathlib.Path("standins3.py"), *pathlib.Path().glob("1[1-5]/case.py")]:
    compile(path.read_text(), str(path), "exec")
EOF
