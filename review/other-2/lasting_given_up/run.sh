#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../lib-2 timeout -k 5 118 python3 case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
