"""Registers this node in the store under a lease, and renews the lease."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from result import Err

from sequoiapulley.forward.state import (
    AnnounceReply,
    FoundLeaseReply,
    NodeRecord,
    NodeRegistry,
    RegisteredReply,
    SourceErrorKind,
)
from sequoiapulley.ids import LeaseId
from sequoiapulley.runtime import TimerHandle, TimerQueue

LEASE_TTL_S: Final = 60.0
"""Time to live of the node's record without renewal. Heartbeats detect lost nodes much sooner; the
lease only removes the records of nodes that do not return."""
RENEWAL_INTERVAL_S: Final = 20.0
"""Time between two renewals. Two such intervals, with jitter, are shorter than the lease, which
leaves time to retry a failed renewal, at `RETRY_INTERVAL_S`."""
RETRY_INTERVAL_S: Final = 1.0
RESTORE_SPREAD_S: Final = 4.0
"""Time over which the nodes check their records after a restoration of the store. With one read and
up to two writes each, 600 nodes make 300 writes per second, which a store of several hundred
serves."""
JITTER: Final = 0.5
"""Width of the random variation of each interval, as a fraction of it."""


class Registration:
    """Keeps this node's record in the store until the node shuts down."""

    def __init__(
        self, registry: NodeRegistry, timers: TimerQueue, random: Random, record: NodeRecord
    ) -> None:
        """Initialise without a lease.

        Args:
            registry: The store client.
            timers: Timers of the event loop.
            random: Source of jitter.
            record: Record of this node.
        """
        self._registry = registry
        self._timers = timers
        self._random = random
        self._record = record
        self._lease: LeaseId | None = None
        self._next_call: TimerHandle | None = None
        """Timer of the next renewal or retry."""
        self._check_timer: TimerHandle | None = None
        self._stopped = False

    def start(self, first_start: bool) -> None:
        """Registers the node.

        A record that an earlier process has left is kept by renewing its lease, which costs a
        fraction of a write.

        Args:
            first_start: Whether no process of the node has run before.
        """
        if self._stopped:
            return
        if first_start:
            self._announce()
        else:
            self._registry.find_lease(self._record, self._on_found)

    def stop(self) -> None:
        """Stops renewing the lease.

        The record stays for the process that may follow, and expires if there is none. Heartbeats
        tell that this process is gone.
        """
        self._stopped = True

    def _announce(self) -> None:
        """Writes the record under a new lease."""
        if not self._stopped:
            self._registry.announce(self._record, LEASE_TTL_S, self._on_announced)

    def _on_found(self, reply: FoundLeaseReply) -> None:
        """Renews the lease of the record that was found, or writes the record."""
        if isinstance(reply, Err):
            # The state feed logs that the store is unavailable.
            self._call_after(RETRY_INTERVAL_S, lambda: self.start(False))
            return
        if reply.ok_value is None:
            self._announce()
            return
        self._lease = reply.ok_value
        self._renew()

    def check_after_restore(self) -> None:
        """Checks, after a random delay, whether a restored store still has the record.

        The record and its lease may be newer than the store's copy. Another node may hold a new
        lease with the same id, so a renewal would not show that.
        """
        if self._check_timer is not None:
            self._check_timer.cancel()
        delay = self._random.random() * RESTORE_SPREAD_S
        self._check_timer = self._timers.call_later(delay, self._check)

    def _check(self) -> None:
        """Reads whether the store has the record under its lease."""
        if self._stopped:
            return
        if self._lease is None:
            # The record is being written; its reply may be of the era before the restoration.
            self._check_timer = self._timers.call_later(RETRY_INTERVAL_S, self._check)
            return
        lease = self._lease
        self._registry.is_registered(
            self._record, lease, lambda reply: self._on_checked(lease, reply)
        )

    def _on_checked(self, lease: LeaseId, reply: RegisteredReply) -> None:
        """Writes the record again if the store lacks it; repeats a failed check."""
        if self._stopped or lease != self._lease:
            return
        if isinstance(reply, Err):
            self._check_timer = self._timers.call_later(RETRY_INTERVAL_S, self._check)
            return
        if not reply.ok_value:
            self._announce_again()

    def _announce_again(self) -> None:
        """Writes the record under a new lease, in place of the next renewal."""
        self._lease = None
        if self._next_call is not None:
            self._next_call.cancel()
        self._announce()

    def _renew(self) -> None:
        """Renews the lease."""
        if self._stopped or self._lease is None:
            return
        lease = self._lease
        self._registry.renew(lease, lambda reply: self._on_renewed(lease, reply))

    def _on_announced(self, reply: AnnounceReply) -> None:
        """Schedules the renewal, or a retry; the state feed logs that the store is unavailable."""
        if isinstance(reply, Err):
            self._call_after(RETRY_INTERVAL_S, self._announce)
            return
        self._lease = reply.ok_value
        self._call_after(RENEWAL_INTERVAL_S, self._renew)

    def _on_renewed(self, lease: LeaseId, reply: AnnounceReply) -> None:
        """Schedules the next renewal, or registers again if the lease has expired."""
        if lease != self._lease:
            # The record was written again meanwhile, under another lease.
            return
        if not isinstance(reply, Err):
            self._call_after(RENEWAL_INTERVAL_S, self._renew)
        elif reply.err_value.kind is SourceErrorKind.HISTORY_COMPACTED:
            # For a lease, this kind of error means that it has expired.
            self._announce_again()
        else:
            self._call_after(RETRY_INTERVAL_S, self._renew)

    def _call_after(self, pause: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a pause with jitter."""
        factor = 1 + JITTER * (self._random.random() - 0.5)
        self._next_call = self._timers.call_later(pause * factor, callback)
