"""Drain state of an upstream, derived from signals that may be stale or contradictory."""

from __future__ import annotations

from typing import Final

DRAIN_HOLD_S: Final = 10.0
"""Time after the last drain signal during which reports without one are ignored."""
REPORTS_TO_RESTORE: Final = 3
"""Consecutive reports without the draining flag that end the drain."""


class DrainState:
    """Starts draining at the first signal and stops only after repeated reports without one."""

    __slots__ = ("_cleared_reports", "_signal_at", "configured", "signalled")

    def __init__(self) -> None:
        self.configured = False
        """Whether the configuration marks the upstream as draining."""
        self.signalled = False
        """Whether a reply or a load report signalled that the upstream is draining."""
        self._signal_at = 0.0
        self._cleared_reports = 0

    @property
    def draining(self) -> bool:
        """Whether the upstream is draining and receives no new work."""
        return self.configured or self.signalled

    def configure(self, draining: bool) -> None:
        """Applies the flag of the configuration; clearing it also clears the signalled state."""
        if self.configured and not draining:
            self.signalled = False
        self.configured = draining

    def on_signal(self, now: float) -> bool:
        """Records a drain signal; returns whether it is the first one."""
        first = not self.signalled
        self.signalled = True
        self._signal_at = now
        self._cleared_reports = 0
        return first

    def on_report_without_drain(self, now: float) -> bool:
        """Records a load report without the draining flag; returns whether it ends the drain.

        Reports may be stale, so they count only some time after the last signal, and several are
        required.
        """
        if not self.signalled or now - self._signal_at < DRAIN_HOLD_S:
            return False
        self._cleared_reports += 1
        if self._cleared_reports < REPORTS_TO_RESTORE:
            return False
        self.signalled = False
        return True
