#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/plantainlatch ] || exit 2
timeout -k 5 115 python3 case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT
wait "$child"
code=$?
[ "$code" -le 2 ] || { wait "$child"; code=2; }
exit "$code"
