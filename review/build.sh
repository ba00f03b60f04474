#!/usr/bin/env bash
# Builds what the scripts of this folder start beside the programs of the deploy file. The stand-ins are in Python, of the
# standard library alone: they are checked here and need no other step.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
for path in sorted(glob.glob("lib/*.py") + glob.glob("*/case.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("good:", path)
CHECK
