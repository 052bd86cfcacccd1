#!/bin/sh
# Puts the libraries and the daemon's packages under target/, and nothing elsewhere.
set -eu
mkdir -p target
if [ ! target/deps -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --disable-pip-version-check --no-cache-dir --upgrade \
        --target target/deps --requirement deploy/requirements.txt
    touch target/deps
fi
sh deploy/pack.sh target/lib
