#!/usr/bin/env bash
# Checks the stand-ins of the review cases. They are Python with its standard library alone (3.11 or
# later), so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(glob.glob("review/standins/*.py") + glob.glob("review/*/case.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
