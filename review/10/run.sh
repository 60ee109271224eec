#!/bin/sh
# Case 10; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. What was sent, answered and run is written to record.txt.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$folder/record.txt
export TROUBLE RECORD
: > "$RECORD" || exit 2
python3 -B -c 'import tomllib' || exit 2
exec python3 -B "$folder/play.py"
