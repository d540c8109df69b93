#!/usr/bin/env bash
# Builds what the cases of the second review start besides the nodes: their stand-ins are Python
# modules that need the standard library alone, so this only checks that each one compiles.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib2/*.py review/[6-9]/case.py review/10/case.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
