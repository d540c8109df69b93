#!/bin/sh
# Plays this case; see review/REPORT.md.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH=. exec python3 -B -m review.lib.play "$here"
