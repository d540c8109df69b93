"""Whether an upstream is leaving, from signs that may lag or contradict one another."""

from __future__ import annotations

from typing import Final

HOLD_S: Final = 10.0
"""Time without a sign of leaving before reports to the contrary are believed."""
REPORTS_TO_RETURN: Final = 3
"""Reports in a row without the mark that put an upstream back."""


class DrainState:
    """Leaves at the first sign, returns late."""

    __slots__ = ("_cleared_reports", "_sign_at", "configured", "seen")

    def __init__(self) -> None:
        """Initialise an upstream that stays."""
        self.configured = False
        """Set by an operator."""
        self.seen = False
        """Set by a reply or a load report."""
        self._sign_at = 0.0
        self._cleared_reports = 0

    @property
    def draining(self) -> bool:
        """Whether the upstream gets no new work."""
        return self.configured or self.seen

    def configure(self, draining: bool) -> None:
        """Takes the operators' mark; removing it also removes what was seen."""
        if self.configured and not draining:
            self.seen = False
        self.configured = draining

    def on_sign(self, now: float) -> bool:
        """Takes a sign of leaving; returns whether it is the first one."""
        first = not self.seen
        self.seen = True
        self._sign_at = now
        self._cleared_reports = 0
        return first

    def on_cleared_report(self, now: float) -> bool:
        """Takes a load report without the mark; returns whether the upstream returns.

        Reports lag, so they are believed only some time after the last sign, and repeated.
        """
        if not self.seen or now - self._sign_at < HOLD_S:
            return False
        self._cleared_reports += 1
        if self._cleared_reports < REPORTS_TO_RETURN:
            return False
        self.seen = False
        return True
