#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. What was sent, answered
# and run is written to record.txt. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib-2
timeout -k 5 118 python3 case.py record.txt "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
