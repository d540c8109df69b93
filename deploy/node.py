"""Starts a node on the users' platform from a source checkout."""

from __future__ import annotations

import gc
import sys
from os.path import abspath, dirname

# Collections while modules are imported find no garbage and delay the start.
gc.disable()
sys.path.insert(0, f"{dirname(dirname(abspath(__file__)))}/src")

from sequoiapulley.daemon.forward_main import main  # noqa: E402

main()
