#!/bin/sh
# Compiles the stand-ins, which are plain Python on the standard library and need nothing else.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q .
