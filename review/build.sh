#!/bin/sh
# Compiles the stand-ins that the scripts start. They need no library but Python's own.
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q review
