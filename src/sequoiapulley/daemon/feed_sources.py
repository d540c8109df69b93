"""Chooses where a node reads its state: one node of each place reads the store, others ask it."""

from __future__ import annotations

from random import Random
from typing import Final

from sequoiapulley.daemon.peer_source import PeerSource
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.node_settings import Address
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.roles import reader_of
from sequoiapulley.forward.state import NodeRecord, StateSource
from sequoiapulley.forward.state_feed import ReadPlan
from sequoiapulley.ids import Revision
from sequoiapulley.runtime import Clock
from sequoiapulley.wire.http_client import HttpClient

STORE_PACE_S: Final = 1.0
"""Least time between two reads of the store: upstreams write heartbeats all the time, and a change
must reach every node within three seconds."""
STORE_WAIT_S: Final = 2.0
"""Longest wait of the store for a change, so that a connection that went silent shows soon."""
PEER_WAIT_S: Final = 0.5
"""Longest wait of a peer for a change: with the timeout, a reader that froze is noticed while there
is time to read the store."""
PEER_PACE_S: Final = 0.1
BEHIND_S: Final = 1.0
"""Time for which peers may tell of a newer configuration before one of them is asked for it: the
usual way takes a wait of a peer and a read of the store."""


class FeedSources:
    """Implements `SourceChoice`."""

    def __init__(
        self,
        store: StateSource,
        client: HttpClient,
        peers: PeerTable,
        forwarder: Forwarder,
        seeds: tuple[Address, ...],
        random: Random,
        clock: Clock,
    ) -> None:
        """Initialise without peers' sources.

        Args:
            store: The store.
            client: Sends calls to peers.
            peers: The other nodes.
            forwarder: Knows the configuration in force.
            seeds: Nodes to ask while none is known.
            random: Chooses among equals.
            clock: Source of time.
        """
        self._store = store
        self._client = client
        self._peers = peers
        self._forwarder = forwarder
        self.seeds = seeds
        """Nodes to ask while none is known."""
        self._random = random
        self._clock = clock
        self._last: PeerSource | None = None
        self._behind_since: float | None = None
        self.revision = Revision(0)
        """Revision up to which this node knows everything."""

    def __call__(self, failures: int) -> ReadPlan:
        """Returns the next read; after a failure it goes elsewhere."""
        ahead = self._newer_configuration()
        if ahead is not None and failures % 2 == 0:
            return self._peer_plan(ahead)
        options: list[Address | None] = []
        reader = reader_of(self._peers.live_near(), self._peers.me.place)
        if reader is not None and reader.name != self._peers.me.name:
            options.append(_address(reader))
        options.append(None)
        if failures:
            options.extend(self._others())
        address = options[failures % len(options)]
        if address is None:
            return ReadPlan(self._store, True, STORE_WAIT_S, STORE_PACE_S)
        return self._peer_plan(address)

    def _peer_plan(self, address: Address) -> ReadPlan:
        """Returns a read from a peer."""
        if self._last is None or self._last.address != address:
            self._last = PeerSource(self._client, address)
        return ReadPlan(self._last, False, PEER_WAIT_S, PEER_PACE_S)

    def _newer_configuration(self) -> Address | None:
        """Returns a peer whose configuration has been newer for some time, or None."""
        newer = self._peers.with_newer_configuration(self._forwarder.version)
        now = self._clock.now()
        if not newer:
            self._behind_since = None
            return None
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < BEHIND_S:
            return None
        return _address(self._random.choice(newer))

    def _others(self) -> list[Address]:
        """Returns a peer that knows more, or a seed while nothing is known."""
        ahead = self._peers.with_later_revision(self.revision)
        if ahead:
            return [_address(self._random.choice(ahead))]
        if self._forwarder.table is None and self.seeds:
            return [self._random.choice(self.seeds)]
        return []


def _address(record: NodeRecord) -> Address:
    """Returns where a node serves its state."""
    return Address(record.host, record.peers_port)
