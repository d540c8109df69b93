"""Adaptive limit on the requests in flight at one upstream (AIMD)."""

from __future__ import annotations

from typing import Final

SHED_FACTOR: Final = 0.7
SLOW_FACTOR: Final = 0.9
SLOW_AND_LOADED_FACTOR: Final = 0.8
"""Decrease for slow replies while the upstream also reports a high load."""
SLOW_RATIO: Final = 3.0
"""Ratio of expected to median latency above which an upstream counts as slow."""
HIGH_LOAD: Final = 0.9
INCREASE_PER_REPLY: Final = 0.1
"""Increase for each good reply, divided by the current limit."""
DECREASE_INTERVAL_S: Final = 0.02
"""Minimum time between decreases, so that a burst of replies causes only one."""
MIN_PAUSE_S: Final = 0.005
MAX_PAUSE_S: Final = 0.16


class ConcurrencyLimit:
    """Limit with additive increase and multiplicative decrease, from one request to a ceiling."""

    __slots__ = ("_decreased_at", "_pause_s", "_value", "ceiling", "current", "paused_until")

    def __init__(self, ceiling: int) -> None:
        """Creates a limit at its ceiling.

        Args:
            ceiling: Slots of the contract that this home node may use.
        """
        self.ceiling = ceiling
        """Maximum value of the limit."""
        self.current = ceiling
        """Number of requests that may be in flight."""
        self._value = float(ceiling)
        self._decreased_at = float("-inf")
        self._pause_s = 0.0
        self.paused_until = float("-inf")
        """Clock reading before which nothing is sent; set by refusals at a limit of one."""

    def set_ceiling(self, ceiling: int) -> None:
        """Changes the ceiling; a limit at the old ceiling moves to the new one."""
        if self._value >= self.ceiling or self._value > ceiling or self._value < 1:
            self._value = float(ceiling)
        self.ceiling = ceiling
        self.current = int(self._value)

    def on_good_reply(self) -> None:
        """Increases the limit by a fraction of one request and resets the pause."""
        self._pause_s = 0.0
        if self._value < self.ceiling:
            self._value = min(float(self.ceiling), self._value + INCREASE_PER_REPLY / self._value)
            self.current = int(self._value)

    def on_shed(self, now: float) -> None:
        """Decreases the limit after a refusal for overload; at one request, pauses sending."""
        if self._value < 2:
            self._pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * self._pause_s))
            self.paused_until = now + self._pause_s
        self._decrease(SHED_FACTOR, now)

    def on_slow_reply(self, reported_load: float | None, now: float) -> None:
        """Decreases the limit after a reply from an upstream that has become slow.

        Args:
            reported_load: Load reported by the upstream; a high one increases the decrease, but
                alone causes none.
            now: Clock reading in seconds.
        """
        loaded = reported_load is not None and reported_load >= HIGH_LOAD
        self._decrease(SLOW_AND_LOADED_FACTOR if loaded else SLOW_FACTOR, now)

    def _decrease(self, factor: float, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S or self._value < 1:
            return
        self._decreased_at = now
        self._value = max(1.0, self._value * factor)
        self.current = int(self._value)
