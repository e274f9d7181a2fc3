#!/bin/sh
# The stand-ins of the scripts in 11 to 15 are Python files of this folder and use only the standard
# library: this checks that they compile. The instances are built by the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - lib-3/*.py 11/*.py 12/*.py 13/*.py 14/*.py 15/*.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
