#!/bin/sh
# Builds the stand-ins of the review's scripts, which are Python without dependencies.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
