"""Finds requests whose connection a node closed without an answer, around planned work."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from math import inf
from typing import Final

from msgspec import Struct

from standins.platform_upstream import PlatformUpstream

UNREAD_S: Final = 0.2
"""Time before the end of a connection within which a request may have crossed the close."""
CONTACT_S: Final = 3.0
"""Time after a fault of a node or link from which it counts as sound again."""
APPLY_S: Final = 3.0
"""Time after SIGHUP in which requests may be sent that it must not end."""
AFTER_GRACE_S: Final = 1.0
"""Time after the grace period that still belongs to the stop."""
EARLY_S: Final = 3.0
"""Time after SIGTERM in which a request may be sent that outlasts the grace period."""
LAST_PART: Final = 1 / 6
"""Last part of the grace period; a request whose upstream is still at work then may be lost if it
was sent early."""
MAX_LOST_OTHERWISE: Final = 3
"""Number of requests that nodes without faults may lose when there is no planned work."""


class WorkKind(Enum):
    """Kind of planned work on a node."""

    STOP = "stop"
    RELOAD = "reload"


class Work(Struct, frozen=True):
    """Planned work on one node; times are of the event loop."""

    kind: WorkKind
    host: str
    at: float
    grace: float

    def covers(self, lost: LostRequest) -> bool:
        """Returns whether a request was lost around this work."""
        if lost.host != self.host or lost.ended_at < self.at:
            return False
        if self.kind is WorkKind.RELOAD:
            return lost.sent_at <= self.at + APPLY_S
        return lost.ended_at <= self.at + self.grace + AFTER_GRACE_S


class Trouble(Struct):
    """A fault of a node, or of the link to an upstream."""

    name: str
    """Address of the node, or name of the upstream."""
    begun_at: float
    ended_at: float = inf


class LostRequest(Struct, frozen=True):
    """A request whose connection ended without a complete answer."""

    request: str
    host: str
    """Address of the node."""
    sent_at: float
    ended_at: float
    time_limit: float
    """Seconds after which the caller doesn't count on an answer."""


class LossFinder:
    """Tells the requests that must not be lost from those that may be."""

    def __init__(
        self, upstreams: list[PlatformUpstream], work: list[Work], trouble: list[Trouble]
    ) -> None:
        """Creates a finder for a run that is over.

        Args:
            upstreams: All upstreams of the run.
            work: Planned work on the nodes.
            trouble: Faults of the nodes and of the links to the upstreams.
        """
        self._upstreams = upstreams
        self._work = work
        self._trouble = trouble

    def find(self, lost: Iterable[LostRequest]) -> list[tuple[LostRequest, str]]:
        """Returns the requests that were lost against the guarantees, each with the details."""
        found: list[tuple[LostRequest, str]] = []
        otherwise: list[tuple[LostRequest, str]] = []
        for item in lost:
            receivers = [u for u in self._upstreams if item.request in u.received]
            waited = item.ended_at - item.sent_at
            if not receivers and waited <= UNREAD_S:
                continue
            if waited >= item.time_limit or self._is_troubled(item, receivers):
                continue
            works = [work for work in self._work if work.covers(item)]
            detail = f"{item.host}, {waited:.2f} s after it was sent"
            names = ", ".join(u.name for u in receivers) or "no upstream"
            if not works:
                if receivers:
                    otherwise.append((item, f"{detail}, at {names}, no planned work"))
                continue
            if any(_may_outlast(work, item, receivers) for work in works):
                continue
            work = works[-1]
            detail += f", {item.ended_at - work.at:.2f} s after {work.kind.value}, at {names}"
            found.append((item, detail))
        return found + (otherwise if len(otherwise) > MAX_LOST_OTHERWISE else [])

    def _is_troubled(self, item: LostRequest, receivers: list[PlatformUpstream]) -> bool:
        """Returns whether the node or a link had a fault, or an upstream broke off its reply."""
        if any(item.request in upstream.broken_off for upstream in receivers):
            return True
        names = {item.host, *(upstream.name for upstream in receivers)}
        return any(
            trouble.name in names
            and trouble.begun_at <= item.ended_at
            and trouble.ended_at >= item.sent_at - CONTACT_S
            for trouble in self._trouble
        )


def _may_outlast(work: Work, item: LostRequest, receivers: list[PlatformUpstream]) -> bool:
    """Returns whether a request was sent early and its upstream worked to the end of the grace."""
    if work.kind is not WorkKind.STOP or item.sent_at > work.at + EARLY_S:
        return False
    last_part = work.at + work.grace * (1 - LAST_PART)
    return any(
        item.request in upstream.last_run_at
        and upstream.last_run_ended_at.get(item.request, inf) >= last_part
        for upstream in receivers
    )
