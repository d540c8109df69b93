"""Finds requests that crash upstreams, without condemning those in flight beside them."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from sequoiapulley.ids import Fingerprint, InstanceName, ServiceName, UpstreamName
from sequoiapulley.upstream.messages import NewStrike

STRIKES_TO_REFUSE: Final = 2
SUSPECT_TTL_S: Final = 30.0
REFUSED_TTL_S: Final = 600.0
MAX_ENTRIES: Final = 4096

InstanceKey = tuple[ServiceName, InstanceName]


class _Entry:
    """What is held against one fingerprint."""

    __slots__ = ("expires", "instances", "lost_alone", "struck_at", "upstreams")

    def __init__(self, now: float) -> None:
        """Initialise an entry without strikes."""
        self.upstreams: set[UpstreamName] = set()
        """Upstreams that hold the strikes."""
        self.instances: set[InstanceKey] = set()
        """Instances that lost the request and have not answered it since."""
        self.lost_alone = 0
        """Losses while alone, all on upstreams that held a strike before."""
        self.struck_at = now
        self.expires = now + SUSPECT_TTL_S


class Quarantine:
    """Bounded table of suspected and refused fingerprints.

    The first strike is a loss in flight, in whatever company. The second must be a loss while
    the request was alone on another upstream that had just accepted a new connection; alone on the
    same upstream, it takes two. A reply of the instance that lost the request clears it there.
    """

    def __init__(self) -> None:
        """Initialise an empty table."""
        self._entries: OrderedDict[Fingerprint, _Entry] = OrderedDict()
        self._refused: dict[Fingerprint, float] = {}

    def __len__(self) -> int:
        """Returns the number of suspected and refused fingerprints."""
        return len(self._entries) + len(self._refused)

    @property
    def has_suspects(self) -> bool:
        """Whether some request has a strike."""
        return bool(self._entries)

    def refuses(self, fingerprint: Fingerprint, now: float) -> bool:
        """Returns whether a request is refused everywhere."""
        if not self._refused:
            return False
        expires = self._refused.get(fingerprint)
        if expires is None:
            return False
        if expires > now:
            return True
        del self._refused[fingerprint]
        return False

    def suspects(self, fingerprint: Fingerprint, now: float) -> bool:
        """Returns whether a request has a strike, so that it is not hedged."""
        return self._entry(fingerprint, now) is not None

    def must_run_alone(self, fingerprint: Fingerprint, instance: InstanceKey, now: float) -> bool:
        """Returns whether a request is isolated on the upstreams of an instance."""
        entry = self._entry(fingerprint, now)
        return entry is not None and instance in entry.instances

    def struck_upstreams(self, fingerprint: Fingerprint, now: float) -> frozenset[UpstreamName]:
        """Returns the upstreams that hold a strike against a request."""
        entry = self._entry(fingerprint, now)
        return frozenset() if entry is None else frozenset(entry.upstreams)

    def on_lost(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamName,
        instance: InstanceKey,
        alone: bool,
        now: float,
    ) -> NewStrike | None:
        """Takes the loss of a connection with a request in flight.

        Args:
            fingerprint: The request.
            upstream: The upstream that went down.
            instance: Its instance.
            alone: Whether the request was isolated there, on a new connection.
            now: Clock reading in seconds.

        Returns:
            The strike to spread, if the loss is one.
        """
        if self.refuses(fingerprint, now):
            return None
        entry = self._entry(fingerprint, now)
        if entry is None:
            entry = self._add(fingerprint, now)
            entry.upstreams.add(upstream)
            entry.instances.add(instance)
            return NewStrike(fingerprint, upstream, 1)
        entry.instances.add(instance)
        if not alone:
            return None
        if upstream in entry.upstreams and not entry.lost_alone:
            entry.lost_alone += 1
            return None
        self._refuse(fingerprint, now)
        return NewStrike(fingerprint, upstream, STRIKES_TO_REFUSE)

    def on_answered(
        self, fingerprint: Fingerprint, instance: InstanceKey, sent_at: float, now: float
    ) -> None:
        """Takes a reply; one to a try after the strike clears the request at the instance."""
        if not self._entries:
            return
        entry = self._entry(fingerprint, now)
        if entry is None or sent_at < entry.struck_at:
            return
        entry.instances.discard(instance)
        if not entry.instances:
            del self._entries[fingerprint]

    def on_strike(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamName,
        instance: InstanceKey | None,
        strikes: int,
        now: float,
    ) -> bool:
        """Takes a strike that another node spread.

        Args:
            fingerprint: The request.
            upstream: The upstream that went down.
            instance: Its instance, if the configuration has it.
            strikes: Strikes that the other node counts.
            now: Clock reading in seconds.

        Returns:
            Whether the request is refused from now on.
        """
        if self.refuses(fingerprint, now):
            return False
        if strikes >= STRIKES_TO_REFUSE:
            self._refuse(fingerprint, now)
            return True
        entry = self._entry(fingerprint, now) or self._add(fingerprint, now)
        entry.upstreams.add(upstream)
        if instance is not None:
            entry.instances.add(instance)
        return False

    def _entry(self, fingerprint: Fingerprint, now: float) -> _Entry | None:
        if not self._entries:
            return None
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires <= now:
            del self._entries[fingerprint]
            return None
        return entry

    def _add(self, fingerprint: Fingerprint, now: float) -> _Entry:
        while self._entries and len(self._entries) >= MAX_ENTRIES:
            self._entries.popitem(last=False)
        entry = self._entries[fingerprint] = _Entry(now)
        return entry

    def _refuse(self, fingerprint: Fingerprint, now: float) -> None:
        self._entries.pop(fingerprint, None)
        if len(self._refused) >= MAX_ENTRIES:
            self._refused.pop(next(iter(self._refused)))
        self._refused[fingerprint] = now + REFUSED_TTL_S
