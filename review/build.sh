#!/bin/sh
# The stand-ins are plain Python and need no packages; this only checks that they compile.
cd "$(dirname "$0")" && exec python3 -m compileall -q lib
