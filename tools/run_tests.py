"""Runs the test suite with nose2, the same way in CI and on a maintainer's machine."""

from __future__ import annotations

import sys

from hypothesis import settings
from nose2 import main


def run() -> None:
    """Runs every test under tests/ with derandomized property tests."""
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    main(module=None, argv=["nose2", "-c", "unittest.cfg", *sys.argv[1:]])


if __name__ == "__main__":
    run()
