#!/usr/bin/env bash
# Checks the stand-ins of the scripts: they are Python programs and need no build. The gateway
# is built with the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
echo "the stand-ins are ready"
