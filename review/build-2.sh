#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python without libraries, so this
# compiles them; the daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for folder in common-2 6 7 8 9 10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
