"""A link with a bandwidth, on a paused clock, for tests of nodes that exchange much data."""

from __future__ import annotations

from collections.abc import Callable

from sequoiapulley.runtime import TimerQueue

SEGMENT_BYTES = 16_384
WINDOW_BYTES = 65_536
"""Bytes of one transfer that wait in the link's queue at a time, like an unacknowledged window."""


class NarrowLink:
    """One direction of a VM's link: a queue that is served at a constant rate."""

    def __init__(self, timers: TimerQueue, bytes_per_s: float) -> None:
        """Initialise an idle link; an infinite rate delays nothing."""
        self._timers = timers
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def send(self, size: int, delivered: Callable[[], None]) -> None:
        """Sends a datagram or a segment behind what is queued already."""
        now = self._timers.clock.now()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        self._timers.call_at(self._free_at, delivered)

    def transfer(self, size: int, progress: Callable[[], None], done: Callable[[], None]) -> None:
        """Sends a stream in segments, within its window.

        Args:
            size: Number of bytes.
            progress: Called when a segment has arrived.
            done: Called when all bytes have arrived.
        """
        unsent = size
        in_flight = 0

        def fill_window() -> None:
            nonlocal unsent, in_flight
            while unsent > 0 and in_flight < WINDOW_BYTES:
                segment = min(SEGMENT_BYTES, unsent)
                unsent -= segment
                in_flight += segment
                self.send(segment, lambda segment=segment: on_arrival(segment))

        def on_arrival(segment: int) -> None:
            nonlocal in_flight
            in_flight -= segment
            progress()
            fill_window()
            if unsent == 0 and in_flight == 0:
                done()

        if size == 0:
            done()
            return
        fill_window()
