"""Whether one upstream is in service, ejected as an outlier, or on probation."""

from __future__ import annotations

from enum import Enum
from typing import Final

FAILURES_TO_EJECT: Final = 5
"""Weight of failures in a row that ejects an upstream."""
FIRST_EJECTION_S: Final = 1.0
LONGEST_EJECTION_S: Final = 30.0
FORGIVEN_AFTER_S: Final = 60.0
"""An upstream in service this long starts again with the first ejection time."""


class HealthState(Enum):
    """Standing of an upstream."""

    IN_SERVICE = "in_service"
    EJECTED = "ejected"
    """Gets no work until its ejection time is over, then one probe of real work."""


class UpstreamHealth:
    """Counts failures in a row and times ejections."""

    __slots__ = ("_ejection", "failures", "hard", "returned_at", "state", "until")

    def __init__(self) -> None:
        """Initialise an upstream in service."""
        self.state = HealthState.IN_SERVICE
        self.failures = 0
        """Weight of the failures since the last good reply."""
        self.hard = False
        """Whether a failure in a row showed the upstream down, not only wrong or slow."""
        self.until = 0.0
        """Clock reading from which an ejected upstream may be probed."""
        self.returned_at = float("-inf")
        self._ejection = 0.0

    @property
    def should_eject(self) -> bool:
        """Whether the failures in a row suffice for an ejection."""
        return self.failures >= FAILURES_TO_EJECT

    def on_failure(self, weight: int, hard: bool) -> None:
        """Counts one failure."""
        self.failures += weight
        self.hard = self.hard or hard

    def on_success(self) -> None:
        """Forgets the failures in a row."""
        self.failures = 0
        self.hard = False

    def eject(self, now: float) -> None:
        """Takes the upstream out of service, longer each time."""
        if now - self.returned_at > FORGIVEN_AFTER_S and self.state is HealthState.IN_SERVICE:
            self._ejection = 0.0
        self._ejection = min(LONGEST_EJECTION_S, max(FIRST_EJECTION_S, 2 * self._ejection))
        self.until = now + self._ejection
        self.state = HealthState.EJECTED

    def restore(self, now: float) -> None:
        """Puts the upstream back into service after a good reply to a probe."""
        self.state = HealthState.IN_SERVICE
        self.returned_at = now
        self.on_success()
