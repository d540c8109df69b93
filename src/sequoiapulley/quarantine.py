"""Identifies requests that crash upstreams, and not those in flight at the same time."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import Fingerprint, InstanceName, ServiceName, UpstreamName

STRIKES_TO_REFUSE: Final = 2
SUSPECT_TTL_S: Final = 30.0
REFUSED_TTL_S: Final = 600.0
MAX_ENTRIES: Final = 4096

InstanceKey = tuple[ServiceName, InstanceName]


class Strike(Struct, frozen=True, array_like=True):
    """Loss of a request together with the connection to its upstream."""

    fingerprint: Fingerprint
    upstream: UpstreamName
    """The upstream that closed the connection."""
    strikes: int
    """Strikes against the request so far; with `STRIKES_TO_REFUSE` it is refused."""


class _Entry:
    """Losses recorded for one suspected fingerprint."""

    __slots__ = ("expires", "instances", "isolated_losses", "strikes", "struck_at", "upstreams")

    def __init__(self, now: float, ttl: float) -> None:
        self.upstreams: set[UpstreamName] = set()
        """Upstreams at which a strike was recorded."""
        self.instances: set[InstanceKey] = set()
        """Instances that lost the request and have sent no good reply to it since."""
        self.isolated_losses = 0
        """Losses while isolated, at upstreams that already had a strike."""
        self.strikes = 1
        self.struck_at = now
        self.expires = now + ttl


class Quarantine:
    """Bounded table of suspected and refused fingerprints.

    The first strike is the loss of a connection with the request in flight, alone or with others.
    From then on the request is isolated: it is sent on a new connection to an upstream where
    nothing else is in flight. A loss while isolated is the second strike if it occurs at another
    upstream; at the same upstream, two such losses are required. A good reply of the instance that
    lost the request clears the suspicion there.
    """

    def __init__(
        self, suspect_ttl: float = SUSPECT_TTL_S, first_refusal: float | None = None
    ) -> None:
        """Creates an empty table.

        Args:
            suspect_ttl: Time for which a request is suspected, in seconds.
            first_refusal: Time for which a request is refused after the second strike, in seconds,
                after which it is suspected again and a third strike refuses it for
                `REFUSED_TTL_S`. None for the second strike to do so.
        """
        self._suspect_ttl = suspect_ttl
        self._first_refusal = first_refusal
        self._strikes_to_refuse = STRIKES_TO_REFUSE + (first_refusal is not None)
        self._entries: OrderedDict[Fingerprint, _Entry] = OrderedDict()
        self._refused: dict[Fingerprint, float] = {}

    def __len__(self) -> int:
        """Returns the number of suspected and refused fingerprints."""
        return len(self._entries) + len(self._refused)

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected."""
        return bool(self._entries)

    @property
    def has_refusals(self) -> bool:
        """Whether any request is refused."""
        return bool(self._refused)

    def refused_for(self, fingerprint: Fingerprint, now: float) -> float:
        """Returns the remaining time for which a request is refused, in seconds; 0 if it is not."""
        return max(0.0, self._refused.get(fingerprint, now) - now)

    def suspected_for(self, fingerprint: Fingerprint, now: float) -> float:
        """Returns the remaining time for which a request is suspected, in seconds, or 0."""
        entry = self._entry(fingerprint, now)
        return 0.0 if entry is None else entry.expires - now

    def strikes(self, fingerprint: Fingerprint, now: float) -> int:
        """Returns the strikes against a request."""
        entry = self._entry(fingerprint, now)
        if entry is not None:
            return entry.strikes
        return self._strikes_to_refuse if self.is_refused(fingerprint, now) else 0

    def refusals(self, now: float) -> list[Strike]:
        """Returns the requests that are or were refused, as strikes without an upstream."""
        no_upstream = UpstreamName("")
        found = [
            Strike(fingerprint, no_upstream, self._strikes_to_refuse)
            for fingerprint, expires in self._refused.items()
            if expires > now and fingerprint not in self._entries
        ]
        found.extend(
            Strike(fingerprint, no_upstream, entry.strikes)
            for fingerprint, entry in self._entries.items()
            if entry.strikes >= STRIKES_TO_REFUSE and entry.expires > now
        )
        return found

    def expire(self, now: float) -> None:
        """Removes the suspicions and refusals that have expired."""
        for fingerprint, entry in tuple(self._entries.items()):
            if entry.expires <= now:
                del self._entries[fingerprint]
        for fingerprint, expires in tuple(self._refused.items()):
            if expires <= now:
                del self._refused[fingerprint]

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Returns whether a request is quarantined and refused by all nodes."""
        if not self._refused:
            return False
        expires = self._refused.get(fingerprint)
        if expires is None:
            return False
        if expires > now:
            return True
        del self._refused[fingerprint]
        return False

    def is_suspected(self, fingerprint: Fingerprint, now: float) -> bool:
        """Returns whether a request has a strike; such requests are not hedged."""
        return self._entry(fingerprint, now) is not None

    def must_isolate(self, fingerprint: Fingerprint, instance: InstanceKey, now: float) -> bool:
        """Returns whether a request must be isolated on the upstreams of an instance."""
        entry = self._entry(fingerprint, now)
        return entry is not None and instance in entry.instances

    def struck_upstreams(self, fingerprint: Fingerprint, now: float) -> frozenset[UpstreamName]:
        """Returns the upstreams at which a strike against a request was recorded."""
        entry = self._entry(fingerprint, now)
        return frozenset() if entry is None else frozenset(entry.upstreams)

    def on_lost(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamName,
        instance: InstanceKey,
        isolated: bool,
        now: float,
    ) -> Strike | None:
        """Records the loss of a connection with a request in flight.

        Args:
            fingerprint: Fingerprint of the request.
            upstream: The upstream that closed the connection.
            instance: Its instance.
            isolated: Whether the request was isolated there, on a new connection.
            now: Clock reading in seconds.

        Returns:
            The strike to broadcast, or None if the loss is not a strike.
        """
        if self.is_refused(fingerprint, now):
            return None
        entry = self._entry(fingerprint, now)
        if entry is None:
            entry = self._add(fingerprint, now)
            entry.upstreams.add(upstream)
            entry.instances.add(instance)
            return Strike(fingerprint, upstream, 1)
        entry.instances.add(instance)
        if not isolated:
            return None
        if upstream in entry.upstreams and not entry.isolated_losses:
            entry.isolated_losses += 1
            return None
        entry.strikes += 1
        if self._first_refusal is not None and entry.strikes < self._strikes_to_refuse:
            entry.upstreams.add(upstream)
            entry.expires = now + self._suspect_ttl
            self._refused[fingerprint] = now + self._first_refusal
        else:
            self._refuse(fingerprint, now)
        return Strike(fingerprint, upstream, entry.strikes)

    def on_answered(
        self, fingerprint: Fingerprint, instance: InstanceKey, sent_at: float, now: float
    ) -> None:
        """Records a good reply; clears the instance if the request was sent after the strike.

        Args:
            fingerprint: Fingerprint of the request.
            instance: Instance of the upstream that replied.
            sent_at: Clock reading at which the request was sent.
            now: Clock reading in seconds.
        """
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
        refused_for: float = REFUSED_TTL_S,
        suspected_for: float | None = None,
    ) -> bool:
        """Records a strike that another node broadcast.

        Args:
            fingerprint: Fingerprint of the request.
            upstream: The upstream that closed the connection.
            instance: Its instance, or None if the upstream is not in the configuration.
            strikes: Strikes counted by the other node.
            now: Clock reading in seconds.
            refused_for: Time for which the request is refused, in seconds; for fewer strikes than
                refuse it for good, 0 if it is only suspected.
            suspected_for: Time for which it is suspected, in seconds; None for the usual one.

        Returns:
            Whether the request is refused from now on.
        """
        refused = self.is_refused(fingerprint, now)
        if strikes >= self._strikes_to_refuse:
            if refused and fingerprint not in self._entries:
                return False
            self._refuse(fingerprint, now, refused_for)
            return True
        if refused:
            return False
        entry = self._entry(fingerprint, now) or self._add(fingerprint, now, suspected_for)
        entry.upstreams.add(upstream)
        entry.strikes = max(entry.strikes, strikes)
        if instance is not None:
            entry.instances.add(instance)
        if strikes < STRIKES_TO_REFUSE or refused_for <= 0.0:
            return False
        self._refused[fingerprint] = now + refused_for
        return True

    def _entry(self, fingerprint: Fingerprint, now: float) -> _Entry | None:
        if not self._entries:
            return None
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires <= now:
            del self._entries[fingerprint]
            return None
        return entry

    def _add(self, fingerprint: Fingerprint, now: float, ttl: float | None = None) -> _Entry:
        while self._entries and len(self._entries) >= MAX_ENTRIES:
            self._entries.popitem(last=False)
        entry = self._entries[fingerprint] = _Entry(now, self._suspect_ttl if ttl is None else ttl)
        return entry

    def _refuse(
        self, fingerprint: Fingerprint, now: float, refused_for: float = REFUSED_TTL_S
    ) -> None:
        self._entries.pop(fingerprint, None)
        if len(self._refused) >= MAX_ENTRIES:
            self._refused.pop(next(iter(self._refused)))
        self._refused[fingerprint] = now + refused_for
