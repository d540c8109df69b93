"""How many requests one upstream may have in flight, learnt from its replies."""

from __future__ import annotations

from typing import Final

SHED_FACTOR: Final = 0.7
SLOW_FACTOR: Final = 0.9
SLOW_AND_LOADED_FACTOR: Final = 0.8
"""Cut for slowness that the upstream's own report explains by load."""
SLOW_RATIO: Final = 3.0
"""Expected latency over the typical one that counts as slow."""
LOADED: Final = 0.9
GROWTH: Final = 0.1
"""Growth for each good reply, divided by the limit."""
CUT_INTERVAL_S: Final = 0.02
"""Replies of one burst cut the limit once."""
FIRST_PAUSE_S: Final = 0.005
LONGEST_PAUSE_S: Final = 0.16


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease below a ceiling; never below one request."""

    __slots__ = ("_cut_at", "_pause", "_value", "ceiling", "current", "paused_until")

    def __init__(self, ceiling: int) -> None:
        """Initialise a limit at its ceiling.

        Args:
            ceiling: Slots of the contract that this home may use.
        """
        self.ceiling = ceiling
        """Largest value of the limit."""
        self.current = ceiling
        """Requests that may be in flight."""
        self._value = float(ceiling)
        self._cut_at = float("-inf")
        self._pause = 0.0
        self.paused_until = float("-inf")
        """Clock reading before which nothing is sent, after refusals at a limit of one."""

    def set_ceiling(self, ceiling: int) -> None:
        """Changes the ceiling; a limit that stood at the old one follows it."""
        if self._value >= self.ceiling or self._value > ceiling or self._value < 1:
            self._value = float(ceiling)
        self.ceiling = ceiling
        self.current = int(self._value)

    def on_good_reply(self) -> None:
        """Grows the limit by a part of one request."""
        self._pause = 0.0
        if self._value < self.ceiling:
            self._value = min(float(self.ceiling), self._value + GROWTH / self._value)
            self.current = int(self._value)

    def on_shed(self, now: float) -> None:
        """Cuts the limit after a refusal for load; at one request, pauses."""
        if self._value < 2:
            self._pause = min(LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * self._pause))
            self.paused_until = now + self._pause
        self._cut(SHED_FACTOR, now)

    def on_slow_reply(self, reported_load: float | None, now: float) -> None:
        """Cuts the limit after a reply from an upstream that has become slow.

        Args:
            reported_load: The upstream's own report, which only strengthens what was observed.
            now: Clock reading in seconds.
        """
        loaded = reported_load is not None and reported_load >= LOADED
        self._cut(SLOW_AND_LOADED_FACTOR if loaded else SLOW_FACTOR, now)

    def _cut(self, factor: float, now: float) -> None:
        if now - self._cut_at < CUT_INTERVAL_S or self._value < 1:
            return
        self._cut_at = now
        self._value = max(1.0, self._value * factor)
        self.current = int(self._value)
