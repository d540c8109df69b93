"""Health of one upstream: in service, or ejected as an outlier until a probe succeeds."""

from __future__ import annotations

from enum import Enum
from typing import Final

EJECTION_THRESHOLD: Final = 5
"""Total weight of consecutive failures at which an upstream is ejected."""
MIN_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
EJECTION_RESET_S: Final = 60.0
"""Time in service after which the next ejection starts at `MIN_EJECTION_S` again."""


class HealthState(Enum):
    """Health of an upstream."""

    IN_SERVICE = "in_service"
    EJECTED = "ejected"
    """Receives no work until its ejection time has passed, then one request as a probe."""


class UpstreamHealth:
    """Adds up consecutive failures and computes ejection times with exponential backoff."""

    __slots__ = (
        "_ejection_s",
        "ejected_until",
        "failure_weight",
        "has_hard_failure",
        "restored_at",
        "state",
    )

    def __init__(self) -> None:
        self.state = HealthState.IN_SERVICE
        self.failure_weight = 0
        """Total weight of the failures since the last good reply, refusal or withheld ejection."""
        self.has_hard_failure = False
        """Whether one of these failures showed the upstream to be down, not only wrong or slow."""
        self.ejected_until = 0.0
        """Clock reading from which an ejected upstream may receive a probe."""
        self.restored_at = float("-inf")
        self._ejection_s = 0.0

    @property
    def should_eject(self) -> bool:
        """Whether the consecutive failures suffice for an ejection."""
        return self.failure_weight >= EJECTION_THRESHOLD

    def on_failure(self, weight: int, hard: bool) -> None:
        """Records one failure."""
        self.failure_weight += weight
        self.has_hard_failure = self.has_hard_failure or hard

    def reset_failures(self) -> None:
        """Resets the consecutive failures, also after a withheld ejection."""
        self.failure_weight = 0
        self.has_hard_failure = False

    def eject(self, now: float) -> None:
        """Ejects the upstream for twice its previous ejection time, within the bounds."""
        if now - self.restored_at > EJECTION_RESET_S and self.state is HealthState.IN_SERVICE:
            self._ejection_s = 0.0
        self._ejection_s = min(MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * self._ejection_s))
        self.ejected_until = now + self._ejection_s
        self.state = HealthState.EJECTED

    def restore(self, now: float) -> None:
        """Returns the upstream to service after a successful probe."""
        self.state = HealthState.IN_SERVICE
        self.restored_at = now
        self.reset_failures()
