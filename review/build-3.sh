#!/bin/sh
# Builds the stand-ins that the cases of the third review start: they run from their sources with
# the libraries that the build of the deploy file has placed in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=".:src:target/deps" python3 -S -m compileall -q review/lib3 standins || exit 2
PYTHONPATH=".:src:target/deps" exec python3 -S -c "
import review.lib3.drain, review.lib3.gone, review.lib3.head, review.lib3.pipeline
import review.lib3.store_move"
