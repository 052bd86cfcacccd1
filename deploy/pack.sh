#!/bin/sh
# Copies the daemon's sources into a folder and puts their byte code beside them.
#
# Instances can write neither; a daemon that compiled its modules at each start would
# keep its callers waiting for it.
set -eu
to=$1
rm -rf "$to"
mkdir -p "$to"
cp -R platform/adapter/bergamotsaddle_platform \
    packages/contracts/bergamotsaddle_contracts \
    packages/daemon/bergamotsaddle_daemon \
    packages/serving/bergamotsaddle_serving "$to"
# A copy has a time of its own, so byte code is not compared with the source's time.
python3 -m compileall -q --invalidation-mode unchecked-hash "$to"
