#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the program of the deploy file. All stand-ins are in Python, so
# this only checks that the interpreter is there and that their sources can be read.
set -eu
cd "$(dirname "$0")"
python3 -B - harness_2.py [0-9]*/play.py <<'PYTHON'
import sys
import tomllib  # noqa: F401  Python 3.11 or later

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
