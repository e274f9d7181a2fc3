#!/usr/bin/env bash
# Checks what the scripts of the second review need. Their stand-ins are Python of the standard
# library, so there is nothing to compile; the programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, pathlib, sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in pathlib.Path("review").glob("lib-2/*.py"):
    ast.parse(path.read_text())
PY
