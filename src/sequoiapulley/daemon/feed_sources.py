"""Chooses the source from which a node reads the shared state.

One node of each failure domain, the store reader, reads the store; the others read from it.
"""

from __future__ import annotations

from random import Random
from typing import Final

from sequoiapulley.daemon.peer_source import PeerSource
from sequoiapulley.forward.forwarder import Forwarder
from sequoiapulley.forward.node_settings import Address
from sequoiapulley.forward.peer_table import PeerTable
from sequoiapulley.forward.state import NodeRecord, StateSource
from sequoiapulley.forward.state_feed import ReadPlan
from sequoiapulley.forward.store_position import NO_POSITION
from sequoiapulley.runtime import Clock
from sequoiapulley.wire.http_client import HttpClient

STORE_READ_INTERVAL_S: Final = 1.0
"""Minimum time between two reads of the store. Without it, reads would follow one another at
once, as upstreams write heartbeats all the time and thus end the wait for a change. It is short
enough for a change to reach every node within three seconds."""
MAX_STORE_WAIT_S: Final = 0.5
"""Longest time for which the store holds a read until there is a change. A store that no longer
answers this node must be noticed while there is time to read the change from a peer."""
STORE_BACKOFF_S: Final = 1.0
"""Time after a failed read of the store during which it is not read if a peer is available."""
MAX_PEER_WAIT_S: Final = 0.5
"""Longest time for which a peer holds a read until there is a change. Even with the timeout of the
reply added, a store reader that froze is noticed while there is time to read the store."""
PEER_READ_INTERVAL_S: Final = 0.1
MAX_CONFIG_LAG_S: Final = 1.0
"""Time for which peers may announce a newer configuration before this node reads it from one of
them. Regular replication takes up to a peer's wait for a change and a read of the store."""


class FeedSourceSelector:
    """Implements `SourceSelector`: selects the store or a peer for each read."""

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
        """Initialise a selector that has not selected a source yet.

        Args:
            store: The store client.
            client: Sends HTTP requests to peers.
            peers: Table of the other nodes.
            forwarder: Holds the active configuration.
            seeds: Nodes to read from while this node has no configuration.
            random: Chooses among equivalent peers.
            clock: Clock of the process.
        """
        self._store = store
        self._client = client
        self._peers = peers
        self._forwarder = forwarder
        self.seeds = seeds
        """Nodes to read from while this node has no configuration."""
        self._random = random
        self._clock = clock
        self._last_peer_source: PeerSource | None = None
        self._lagging_since: float | None = None
        self._failures = 0
        self._last_read_was_store = False
        self._store_retry_at = float("-inf")
        self.position = NO_POSITION
        """Position up to which this node has applied all changes."""

    def __call__(self, failures: int) -> ReadPlan:
        """Returns the next read; after a failure it selects another source.

        A peer with a newer configuration is tried first and after every second failure; the other
        reads use the other sources, in case that peer fails.
        """
        now = self._clock.now()
        self._record_failures(failures, now)
        newer_peer = self._peer_with_newer_configuration()
        if newer_peer is not None and failures % 2 == 0:
            # The changes after this node's position may lack a configuration of an earlier era.
            return self._peer_plan(newer_peer, whole=True)
        options = self._options(failures, now)
        address = options[failures % len(options)]
        if address is None:
            self._last_read_was_store = True
            return ReadPlan(self._store, True, MAX_STORE_WAIT_S, STORE_READ_INTERVAL_S)
        return self._peer_plan(address)

    def _record_failures(self, failures: int, now: float) -> None:
        """Starts a backoff of the store after a failed read of it; a peer's failure ends it."""
        failed = failures > self._failures
        self._failures = failures
        if failed:
            self._store_retry_at = now + STORE_BACKOFF_S if self._last_read_was_store else now

    def _options(self, failures: int, now: float) -> list[Address | None]:
        """Returns the possible sources, the preferred one first; None stands for the store."""
        store_backing_off = now < self._store_retry_at
        store: list[Address | None] = [] if store_backing_off else [None]
        fallback = self._fallback_addresses() if failures or store_backing_off else []
        reader = self._peers.store_reader()
        if reader is None or reader.name == self._peers.local_node.name:
            return [*store, *fallback] or [None]
        # Fallback peers answer at once; a store that does not serve this node may never answer.
        return [_address(reader), *fallback, *store]

    def _peer_plan(self, address: Address, whole: bool = False) -> ReadPlan:
        """Returns a read from a peer, of its changes or its whole state.

        The client for the last peer is reused.
        """
        self._last_read_was_store = False
        if self._last_peer_source is None or self._last_peer_source.address != address:
            self._last_peer_source = PeerSource(
                self._client, address, lambda: self._forwarder.table
            )
        source = self._last_peer_source
        return ReadPlan(source, False, MAX_PEER_WAIT_S, PEER_READ_INTERVAL_S, whole)

    def _peer_with_newer_configuration(self) -> Address | None:
        """Returns a peer with a newer configuration once this node has lagged too long, or None."""
        newer = self._peers.with_newer_configuration(self._forwarder.version)
        now = self._clock.now()
        if not newer:
            self._lagging_since = None
            return None
        if self._lagging_since is None:
            self._lagging_since = now
        if now - self._lagging_since < MAX_CONFIG_LAG_S:
            return None
        return _address(self._random.choice(newer))

    def _fallback_addresses(self) -> list[Address]:
        """Returns a peer to read from if the store and its reader fail; empty if there is none.

        It is a peer with a later position, else one of another failure domain, which has a reader
        of its own, else a seed while this node has no configuration.
        """
        domain = self._peers.local_node.failure_domain
        later = self._peers.with_later_position(self.position)
        remote = [peer for peer in self._peers.ready() if peer.failure_domain != domain]
        if later or remote:
            return [_address(self._random.choice(later or remote))]
        if self._forwarder.table is None and self.seeds:
            return [self._random.choice(self.seeds)]
        return []


def _address(record: NodeRecord) -> Address:
    """Returns the address at which a node serves its state to peers."""
    return Address(record.host, record.peers_port)
