#!/usr/bin/env bash
# Prepares what the scripts of review/11 and up start beside the system itself: their stand-ins are Python programs that
# need no build, so this only checks that Python reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for name in ["harness_3.py"] + sorted(glob.glob("1[1-5]/*.py")):
    ast.parse(open(name).read(), name)
PY
