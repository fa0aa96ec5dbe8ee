#!/bin/sh
# Build the stand-ins that the scripts start: Python only, so that this compiles them and
# checks that their libraries are there. Run after the `build` line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q src/reedhook_standins review
PYTHONPATH=target/deps:src python3 -S -c 'import aiohttp, orjson, reedhook_standins.keyvalue'
