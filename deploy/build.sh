#!/bin/sh
# Puts the libraries and the byte code of all sources under target/, and nothing elsewhere.
set -eu
mkdir -p target
if [ ! target/deps -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --disable-pip-version-check --no-cache-dir --upgrade \
        --target target/deps --requirement deploy/requirements.txt
    touch target/deps
fi
python3 -X pycache_prefix=target/bytecode -m compileall -q platform \
    packages/contracts packages/daemon packages/serving
