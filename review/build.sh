#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python, so there is nothing to compile: this checks that the
# interpreter that the scripts name reads them. The scripts need target/bin/plantainlatch, which the command of
# deploy/system.toml builds.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py */play.py; do
    /usr/bin/python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins are readable"
