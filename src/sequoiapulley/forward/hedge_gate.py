"""Holds back hedged requests to shards until one of the shards has replied."""

from __future__ import annotations

from collections.abc import Callable


class HedgeGate:
    """Gate that the calls to the shards of one request share.

    If none of the shards has replied, the request itself is slow or crashes upstreams, and more
    sends would only spread that.
    """

    __slots__ = ("_waiting", "is_open", "replied")

    def __init__(self, shards: int) -> None:
        """Initialise a gate, which is open for a single shard.

        Args:
            shards: Number of shards that are called.
        """
        self.is_open = shards < 2
        self.replied = False
        """Whether a shard has replied."""
        self._waiting: list[Callable[[], None]] = []

    def wait(self, callback: Callable[[], None]) -> None:
        """Calls a function when the gate opens."""
        self._waiting.append(callback)

    def open(self) -> None:
        """Opens the gate, as a shard has replied."""
        self.replied = True
        if self.is_open:
            return
        self.is_open = True
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            callback()
