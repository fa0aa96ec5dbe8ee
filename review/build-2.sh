#!/bin/sh
# Builds what the scripts of this review start: stand-ins in plain Python, which need
# the standard library only. The hosts come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
for play in */play.py; do
    python3 -m py_compile "$play"
done
