"""Remembers upstreams that have left, so that a restored store does not bring them back."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from sequoiapulley.forward.messages import UpstreamRecord
from sequoiapulley.ids import Era, UpstreamName

MEMORY_S: Final = 300.0
"""Time for which a departure is remembered; a store restored from a copy lacks only its last
seconds."""


class _Departure(Struct, frozen=True):
    """What was known of an upstream when it left."""

    started_ms: int
    report_number: int
    era: Era
    announced: bool
    """Whether the upstream itself announced it in a reply."""
    at: float
    """Clock reading in seconds."""


class Departures:
    """Upstreams that drained, announced their shutdown or were removed."""

    def __init__(self) -> None:
        """Initialise without departures."""
        self._departures: dict[UpstreamName, _Departure] = {}

    def __len__(self) -> int:
        """Returns the number of departures that are remembered."""
        return len(self._departures)

    def record(self, upstream: UpstreamRecord, era: Era, announced: bool, now: float) -> None:
        """Records that an upstream has left, unless a later departure of it is known.

        Args:
            upstream: Its last known record.
            era: Era of the store in which this became known.
            announced: Whether the upstream itself announced it in a reply.
            now: Clock reading in seconds.
        """
        known = self._departures.get(upstream.name)
        if known is not None and _precedes(upstream, era, known):
            return
        self._departures.pop(upstream.name, None)
        if known is not None and known.started_ms == upstream.started_ms:
            announced = announced or known.announced
        self._departures[upstream.name] = _Departure(
            upstream.started_ms, upstream.report_number, era, announced, now
        )
        self._expire(now)

    def is_outdated(self, upstream: UpstreamRecord, era: Era) -> bool:
        """Returns whether an entry of the store precedes the departure of its upstream.

        A later start ends a departure. So does a later report of the same process, unless the
        process had announced its shutdown. Within an era the store's last entry is the latest.

        Args:
            upstream: Record in the entry, which states that the upstream is ready.
            era: Era of the store that holds the entry.
        """
        left = self._departures.get(upstream.name)
        if left is None or upstream.started_ms > left.started_ms:
            return False
        if upstream.started_ms < left.started_ms:
            return True
        if left.announced:
            # Without a start time, a lower number shows that the process is another one.
            unknown_start = not upstream.started_ms and era == left.era
            return not (unknown_start and upstream.report_number < left.report_number)
        return era > left.era and upstream.report_number <= left.report_number

    def forget(self, name: UpstreamName) -> None:
        """Forgets the departure of an upstream that is in use again."""
        self._departures.pop(name, None)

    def _expire(self, now: float) -> None:
        """Forgets the oldest departures; they are in the order in which they were recorded."""
        for name, left in tuple(self._departures.items()):
            if now - left.at < MEMORY_S:
                return
            del self._departures[name]


def _precedes(upstream: UpstreamRecord, era: Era, left: _Departure) -> bool:
    """Returns whether a record of an upstream that leaves is older than a known departure.

    A restored store may list an earlier process of the upstream, or an earlier report.
    """
    if upstream.started_ms != left.started_ms:
        return upstream.started_ms < left.started_ms
    return era > left.era and upstream.report_number < left.report_number
