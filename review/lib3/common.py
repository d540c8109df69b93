"""Settings and records that the cases share."""

from __future__ import annotations

import os
import sys
from asyncio import run
from collections.abc import Callable, Coroutine
from time import monotonic
from traceback import print_exc
from typing import Any, Protocol

from review.lib3.fleet import ROOT

DRAIN_MS = 4_000
CONTACT_MS = 5_000
GRACE_S = 6
CONFIG_APPLY_MS = 4_000
BOUNDS = f"""seed_lag_s = 3
addr_reuse_s = 2
contact_ms = {CONTACT_MS}
ack_ms = 6000
sync_s = 4
drain_ms = {DRAIN_MS}
grace_s = {GRACE_S}
loss_slack_ms = 200
config_apply_ms = {CONFIG_APPLY_MS}
rollback_slack_ms = 250
max_stretch_ms = 15000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 116
recovery_s = 12
ttl_max_s = 5"""
ZONES = {"xela-uno": "occidente", "flores-uno": "peten", "zona-diez": "central"}
HOST = "review.example"
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
HEARTBEAT_S = 1.2
SHOWN_LINES = 14
COULD_NOT_RUN = 2


class Record:
    """Lines with the time since the start."""

    def __init__(self) -> None:
        """Starts the time."""
        self._started = monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{monotonic() - self._started:8.3f} {text}")


class Case(Protocol):
    """One run of a case."""

    record: Record

    def run(self) -> Coroutine[Any, Any, int]:
        """Plays the case; returns the exit status."""


def play(folder: str, make_case: Callable[[bool], Case]) -> None:
    """Plays a case, writes the record into its folder and exits with its status.

    Args:
        folder: Name of the folder in `review`.
        make_case: Creates the case, with or without its disruption.
    """
    case = make_case(os.environ.get("TROUBLE", "1") != "0")
    status = COULD_NOT_RUN
    try:
        status = run(case.run())
    except Exception:
        print_exc()
    text = "\n".join(case.record.lines) + "\n"
    (ROOT / "review" / folder / "record.txt").write_text(text, encoding="utf-8")
    print("\n".join(case.record.lines[-SHOWN_LINES:]))
    print(f"exit status {status}")
    sys.exit(status)
