#!/bin/sh
# Builds the stand-ins of the cases: plain Python, checked and compiled in memory.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [0-9]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
