"""Starts a node on the users' platform from a source checkout."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from sequoiapulley.daemon.forward_main import main

main()
