"""Plays the case of a folder; whatever keeps it from running gives exit status 2."""

from __future__ import annotations

import runpy
import sys
import traceback
from pathlib import Path

COULD_NOT_RUN = 2


def play(folder: Path) -> None:
    """Runs `case.py` of a folder, which ends with an exit status of its own."""
    try:
        runpy.run_path(str(folder / "case.py"), run_name="__main__")
    except Exception:
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)


if __name__ == "__main__":
    play(Path(sys.argv[1]))
