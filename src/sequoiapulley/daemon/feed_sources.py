"""Chooses where a node reads its state.

One node of each failure domain reads the store, and the others ask it.
"""

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
STORE_WAIT_S: Final = 0.5
"""Longest wait of the store for a change: a store that has fallen silent for this node must show
while there is time to hear of a change from a peer."""
STORE_PAUSE_S: Final = 1.0
"""Time for which a store that did not answer is not asked while a peer can be."""
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
        self._failures = 0
        self._asked_store = False
        self._ask_store_at = float("-inf")
        self.revision = Revision(0)
        """Revision up to which this node knows everything."""

    def __call__(self, failures: int) -> ReadPlan:
        """Returns the next read; after a failure it goes elsewhere."""
        now = self._clock.now()
        self._note_failure(failures, now)
        ahead = self._newer_configuration()
        if ahead is not None and failures % 2 == 0:
            return self._peer_plan(ahead)
        options = self._options(failures, now)
        address = options[failures % len(options)]
        if address is None:
            self._asked_store = True
            return ReadPlan(self._store, True, STORE_WAIT_S, STORE_PACE_S)
        return self._peer_plan(address)

    def _note_failure(self, failures: int, now: float) -> None:
        """Lets the store rest after a read that failed, until a peer fails as well."""
        failed = failures > self._failures
        self._failures = failures
        if failed:
            self._ask_store_at = now + STORE_PAUSE_S if self._asked_store else now

    def _options(self, failures: int, now: float) -> list[Address | None]:
        """Returns where to read, the best source first; None stands for the store."""
        store_rests = now < self._ask_store_at
        store: list[Address | None] = [] if store_rests else [None]
        others = self._others() if failures or store_rests else []
        reader = reader_of(self._peers.live_near(), self._peers.me.failure_domain)
        if reader is None or reader.name == self._peers.me.name:
            return [*store, *others] or [None]
        # Peers elsewhere answer at once; a store that turns this node away may never do.
        return [_address(reader), *others, *store]

    def _peer_plan(self, address: Address) -> ReadPlan:
        """Returns a read from a peer."""
        self._asked_store = False
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
        """Returns a peer that knows more or reads for itself, or a seed while nothing is known."""
        domain = self._peers.me.failure_domain
        ahead = self._peers.with_later_revision(self.revision)
        far = [peer for peer in self._peers.ready() if peer.failure_domain != domain]
        if ahead or far:
            return [_address(self._random.choice(ahead or far))]
        if self._forwarder.table is None and self.seeds:
            return [self._random.choice(self.seeds)]
        return []


def _address(record: NodeRecord) -> Address:
    """Returns where a node serves its state."""
    return Address(record.host, record.peers_port)
