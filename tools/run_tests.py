"""Runs the test suite with nose2, with the same settings in CI and locally."""

from __future__ import annotations

import sys

from hypothesis import settings
from nose2 import main


def run() -> None:
    """Runs the tests under tests/, or those named, with derandomized property tests."""
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    main(module=None, argv=["nose2", "-c", "unittest.cfg", *sys.argv[1:]])


if __name__ == "__main__":
    run()
