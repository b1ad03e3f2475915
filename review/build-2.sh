#!/usr/bin/env bash
# Checks the stand-ins of the second review. They are Python, need its standard library only
# (3.11 or newer, as on Debian 12), and are run as they are.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sorted(glob.glob("standins-2/*.py") + glob.glob("[0-9]*/case.py")):
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
