#!/bin/sh
# Writes what was sent, answered and run to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/scenario.py" "$here/record.txt"
